package org.siskintiller.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes numbered log events as structured log lines. */
public final class EventLog {
    private static final Logger LOGGER = LoggerFactory.getLogger("siskintiller");

    private EventLog() {}

    public static void log(LogEvent event, String detail) {
        LOGGER.atLevel(event.level())
                .addKeyValue("event", event.id())
                .addKeyValue("detail", detail)
                .log(event.id() + " " + event.text() + ": " + detail);
    }

    public static void log(LogEvent event, String detail, Throwable cause) {
        LOGGER.atLevel(event.level())
                .addKeyValue("event", event.id())
                .addKeyValue("detail", detail)
                .setCause(cause)
                .log(event.id() + " " + event.text() + ": " + detail);
    }
}
