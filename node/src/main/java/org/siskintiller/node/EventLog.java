package org.siskintiller.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes log events as structured log lines and limits their rate. */
public final class EventLog {
    /** Limit of each event, so that malformed input from outside cannot flood the log. */
    private static final int MAX_LINES_PER_SECOND = 20;

    /** Limit of each event on requests. A companion handles at most several hundred requests per second. */
    private static final int MAX_REQUEST_LINES_PER_SECOND = 200;

    private static final int FIRST_REQUEST_EVENT = 1600;
    private static final int LAST_REQUEST_EVENT = 1699;

    private static final long[] CURRENT_SECOND = new long[LogEvent.values().length];
    private static final int[] LINES_IN_SECOND = new int[LogEvent.values().length];
    private static final int[] DROPPED_LINES = new int[LogEvent.values().length];
    private static final Logger LOGGER = LoggerFactory.getLogger("siskintiller");

    private EventLog() {}

    public static void log(LogEvent event, String detail) {
        log(event, detail, null);
    }

    public static void log(LogEvent event, String detail, Throwable cause) {
        if (!LOGGER.isEnabledForLevel(event.level()) || !isWithinRate(event)) {
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
     * Writes an event with named fields, such as the id of a request, the component that decided and the outcome.
     *
     * @param fields alternating names and values
     */
    public static void log(LogEvent event, Object... fields) {
        if (!LOGGER.isEnabledForLevel(event.level()) || !isWithinRate(event)) {
            return;
        }
        LoggingEventBuilder line =
                LOGGER.atLevel(event.level()).addKeyValue("event", event.id()).addKeyValue("remedy", event.remedy());
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line = line.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
        }
        int dropped = takeDroppedLines(event);
        if (dropped > 0) {
            line = line.addKeyValue("dropped_lines", dropped);
        }
        line.log(event.text());
    }

    private static int takeDroppedLines(LogEvent event) {
        synchronized (CURRENT_SECOND) {
            int dropped = DROPPED_LINES[event.ordinal()];
            DROPPED_LINES[event.ordinal()] = 0;
            return dropped;
        }
    }

    private static int maxLinesPerSecond(LogEvent event) {
        boolean isRequestEvent = event.number() >= FIRST_REQUEST_EVENT && event.number() <= LAST_REQUEST_EVENT;
        return isRequestEvent ? MAX_REQUEST_LINES_PER_SECOND : MAX_LINES_PER_SECOND;
    }

    private static boolean isWithinRate(LogEvent event) {
        long second = System.nanoTime() / 1_000_000_000L;
        synchronized (CURRENT_SECOND) {
            int index = event.ordinal();
            if (CURRENT_SECOND[index] != second) {
                CURRENT_SECOND[index] = second;
                LINES_IN_SECOND[index] = 0;
            }
            boolean isWithinLimit = ++LINES_IN_SECOND[index] <= maxLinesPerSecond(event);
            if (!isWithinLimit) {
                DROPPED_LINES[index]++;
            }
            return isWithinLimit;
        }
    }
}
