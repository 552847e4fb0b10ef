package org.siskintiller.ctl;

import java.time.Instant;

/**
 * One line of the audit trail.
 *
 * @param kind kind of change, for filtering
 * @param timeMs wall clock time of the log service in ms
 */
record AuditRow(
        long offset,
        long timeMs,
        String operationId,
        AuditKind kind,
        String who,
        String what,
        String from,
        String to,
        String outcome) {

    String toLine() {
        return offset + " " + Instant.ofEpochMilli(timeMs) + " " + who + ": " + what + ": " + orDash(from) + " -> "
                + orDash(to) + " (" + outcome + ")";
    }

    private static String orDash(String value) {
        return value.isEmpty() ? "-" : value;
    }
}
