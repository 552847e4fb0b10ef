package org.siskintiller.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes numbered log events as structured log lines. */
public final class EventLog {
    /** Bounds each event, so that malformed input from outside cannot flood the log. */
    private static final int MAX_LINES_PER_SECOND = 20;

    private static final long[] SECONDS = new long[LogEvent.values().length];
    private static final int[] LINES = new int[LogEvent.values().length];
    private static final Logger LOGGER = LoggerFactory.getLogger("siskintiller");

    private EventLog() {}

    public static void log(LogEvent event, String detail) {
        log(event, detail, null);
    }

    public static void log(LogEvent event, String detail, Throwable cause) {
        if (!LOGGER.isEnabledForLevel(event.level()) || !withinRate(event)) {
            return;
        }
        LOGGER.atLevel(event.level())
                .addKeyValue("event", event.id())
                .addKeyValue("detail", detail)
                .addKeyValue("remedy", event.remedy())
                .setCause(cause)
                .log(event.id() + " " + event.text() + ": " + detail);
    }

    private static boolean withinRate(LogEvent event) {
        long second = System.nanoTime() / 1_000_000_000L;
        synchronized (SECONDS) {
            int index = event.ordinal();
            if (SECONDS[index] != second) {
                SECONDS[index] = second;
                LINES[index] = 0;
            }
            return ++LINES[index] <= MAX_LINES_PER_SECOND;
        }
    }
}
