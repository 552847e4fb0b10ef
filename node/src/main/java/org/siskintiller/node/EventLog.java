package org.siskintiller.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes numbered log events as structured log lines. */
public final class EventLog {
    /** Bounds each event, so that malformed input from outside cannot flood the log. */
    private static final int MAX_LINES_PER_SECOND = 20;

    /** Bounds the events of requests. A companion handles several hundred requests a second at most. */
    private static final int MAX_REQUEST_LINES_PER_SECOND = 200;

    private static final int FIRST_REQUEST_NUMBER = 1600;
    private static final int LAST_REQUEST_NUMBER = 1699;

    private static final long[] SECONDS = new long[LogEvent.values().length];
    private static final int[] LINES = new int[LogEvent.values().length];
    private static final int[] DROPPED = new int[LogEvent.values().length];
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

    /**
     * Writes an event with named fields, such as the id of a request, what decided and the outcome.
     *
     * @param fields names and values in turn
     */
    public static void log(LogEvent event, Object... fields) {
        if (!LOGGER.isEnabledForLevel(event.level()) || !withinRate(event)) {
            return;
        }
        LoggingEventBuilder line =
                LOGGER.atLevel(event.level()).addKeyValue("event", event.id()).addKeyValue("remedy", event.remedy());
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line = line.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
        }
        int dropped = takeDropped(event);
        if (dropped > 0) {
            line = line.addKeyValue("dropped_lines", dropped);
        }
        line.log(event.text());
    }

    private static int takeDropped(LogEvent event) {
        synchronized (SECONDS) {
            int dropped = DROPPED[event.ordinal()];
            DROPPED[event.ordinal()] = 0;
            return dropped;
        }
    }

    private static int linesPerSecond(LogEvent event) {
        boolean request = event.number() >= FIRST_REQUEST_NUMBER && event.number() <= LAST_REQUEST_NUMBER;
        return request ? MAX_REQUEST_LINES_PER_SECOND : MAX_LINES_PER_SECOND;
    }

    private static boolean withinRate(LogEvent event) {
        long second = System.nanoTime() / 1_000_000_000L;
        synchronized (SECONDS) {
            int index = event.ordinal();
            if (SECONDS[index] != second) {
                SECONDS[index] = second;
                LINES[index] = 0;
            }
            boolean within = ++LINES[index] <= linesPerSecond(event);
            if (!within) {
                DROPPED[index]++;
            }
            return within;
        }
    }
}
