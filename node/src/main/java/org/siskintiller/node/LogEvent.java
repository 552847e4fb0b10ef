package org.siskintiller.node;

import org.slf4j.event.Level;

/**
 * Numbered log events of the companion. docs/log-events.md is generated from this enum.
 *
 * <p>Numbers: 10xx process, 11xx callers, 12xx sessions and ownership, 13xx peers, 14xx backend server, 15xx log service,
 * 16xx requests of the router, 17xx keys and lease authority.
 */
public enum LogEvent {
    STARTED(1001, Level.INFO, "companion started", "none"),
    SETTINGS_INVALID(1002, Level.ERROR, "settings are invalid", "correct the named key and start again"),
    STOP_REQUESTED(1003, Level.INFO, "graceful stop requested", "none"),
    STOPPED(1004, Level.INFO, "companion stopped", "none"),
    STOP_TIMED_OUT(
            1005,
            Level.WARN,
            "graceful stop timed out; requests that were still running were aborted",
            "raise stop_timeout_ms above the longest request"),
    UNEXPECTED_ERROR(1006, Level.ERROR, "unexpected error", "report the stack trace; the companion continues"),
    SETTINGS_RELOADED(1008, Level.INFO, "settings read again", "none"),
    SETTINGS_IGNORED(1009, Level.DEBUG, "setting that does not apply here ignored", "none"),
    LISTENING(1007, Level.INFO, "listening", "none"),
    LOOP_STALLED(
            1010,
            Level.WARN,
            "event loop was late; requests may have waited unread",
            "give the machine more processor time, or look for what stopped the process"),

    REQUEST_REJECTED(1101, Level.DEBUG, "malformed request rejected", "correct the caller"),
    REQUEST_REFUSED(1102, Level.DEBUG, "request refused", "see the remedy in the response"),
    RESPONSE_CUT(
            1103, Level.WARN, "response truncated; the caller sees a broken connection", "check the backend server"),
    CALLERS_EXCEEDED(1104, Level.WARN, "too many callers; connection refused", "raise max_callers or add companions"),
    MEMORY_FULL(
            1105,
            Level.INFO,
            "request refused before it was read, since the memory for requests or responses is in use",
            "see the sizes in the log line: look for slow backend servers or for callers that do not read"),
    SLOW_READER_CLOSED(
            1106,
            Level.WARN,
            "connection of a caller that does not read its responses closed, since memory is short",
            "check the caller"),
    REQUEST_DEFERRED(
            1107,
            Level.DEBUG,
            "request of a pipelined connection waits for a streamed response ahead of it",
            "none; without pipelining it would not wait"),
    CALLER_CUT(
            1108,
            Level.WARN,
            "connection of a caller closed by this process before all responses had left",
            "see the cause in the log line; on a slow link, look for what fills it"),
    REQUESTS_DISCARDED(
            1109,
            Level.INFO,
            "requests arrived behind the last response of a connection and were discarded",
            "none; their callers send them again"),

    SESSION_OPENED(1201, Level.INFO, "session opened", "none"),
    SESSION_ENDED(1202, Level.WARN, "session ended", "none; the companion opens a new one"),
    LEASE_ACQUIRED(1203, Level.INFO, "session lease acquired", "none"),
    LEASE_LOST(
            1204, Level.WARN, "session lease lost", "check the network to the witnesses, and the process for pauses"),
    CLAIM_STARTED(1205, Level.WARN, "claiming the slots of a lapsed session", "check the instance of that session"),
    CLAIM_GRANTED(1206, Level.WARN, "claim granted by the witnesses", "none"),
    SLOTS_OPENED(1207, Level.INFO, "slots opened", "none"),
    SLOTS_CLOSED(1208, Level.INFO, "slots closed", "none"),
    SLOTS_RELEASED(1209, Level.INFO, "slots released", "none"),
    WITNESSES_CHANGED(1210, Level.INFO, "witnesses changed", "none"),
    ASSIGNMENT_PROPOSED(1211, Level.INFO, "assignment proposed", "none"),
    RECORD_VOID(1212, Level.INFO, "record is void", "none; a competing record came first"),
    SNAPSHOT_PROPOSED(1213, Level.INFO, "snapshot proposed", "none"),
    CATCH_UP_STARTED(1214, Level.INFO, "catching up with another companion", "none"),
    INCARNATION_RETIRED(1215, Level.WARN, "incarnation retired; a new one starts", "none"),
    CONFIG_IN_FORCE(1216, Level.INFO, "configuration in force", "none"),
    CONTROL_FAILED(1217, Level.ERROR, "control plane failed; the process exits", "report the stack trace"),
    CONFIG_PASSED_ON(1218, Level.INFO, "configuration written to other companions", "none"),
    CONFIG_REQUESTED(
            1219,
            Level.INFO,
            "a newer configuration has not arrived in time and is requested",
            "check the machines that read the store for their domain"),

    EVACUATIONS_CHANGED(1220, Level.WARN, "set of evacuated failure domains changed", "none"),

    PEER_CONNECTED(1301, Level.INFO, "connected to a companion", "none"),
    PEER_CONNECT_FAILED(1302, Level.INFO, "cannot connect to a companion", "check the peer address and the network"),
    PEER_MALFORMED(
            1303, Level.WARN, "malformed data from a companion; connection closed", "check versions and network"),
    PEER_STREAM_RESET(1304, Level.DEBUG, "stream to a companion reset", "none"),
    PEER_MISMATCH(
            1305,
            Level.ERROR,
            "response with the id of another request discarded",
            "report it; the outcome of the request is reported as unknown"),
    PEER_UNREACHABLE(1306, Level.DEBUG, "address of a companion unknown", "none; the message is sent again"),
    DATAGRAM_MALFORMED(1307, Level.WARN, "malformed datagram dropped", "check which process sends to the peer port"),
    PEER_NOT_EXPECTED(
            1308,
            Level.WARN,
            "another process than the expected one at the other end of a connection between companions; connection closed",
            "none if the address was given to another machine or a process has restarted; else check the addresses"),
    PEER_LINK_SLOW(
            1309,
            Level.WARN,
            "frames between companions wait in a socket or on a link",
            "compare the bytes of each kind with the rate of the link"),

    BACKEND_ANNOUNCED(1401, Level.INFO, "backend server announced itself", "none"),
    BACKEND_ANNOUNCEMENT_INVALID(1402, Level.WARN, "invalid announcement", "correct the backend server"),
    BACKEND_CHANGED(1403, Level.WARN, "backend server started or stopped serving", "see the reason in the log line"),
    BACKEND_LEAVING(1404, Level.INFO, "backend server is leaving; drain started", "none"),
    BACKEND_GRANT_FAILED(1405, Level.WARN, "grants not accepted", "check PUT /grants of the backend server"),
    BACKEND_LOAD_FAILED(1406, Level.DEBUG, "load not reported", "check GET /load of the backend server"),
    LEAVE_NOT_STORED(
            1407,
            Level.WARN,
            "leave of the backend server not stored in time",
            "restore the store; if copied is false, the leave was not acknowledged"),
    BACKEND_COLD(1408, Level.INFO, "backend server turned cold or warm", "none"),

    LOG_UNAVAILABLE(
            1501, Level.WARN, "log service unavailable", "restore the log service; sessions and takeover continue"),
    LOG_AVAILABLE(1502, Level.INFO, "log service available", "none"),
    LOG_EXPIRED(1503, Level.INFO, "records expired; reading from the first retained offset", "none"),
    LOG_MALFORMED(1504, Level.ERROR, "malformed record in the log skipped", "find the process that wrote that offset"),
    LOG_APPEND_UNCERTAIN(
            1505, Level.WARN, "append without a response", "none; it is retried with the same operation id"),
    LOG_QUEUE_FULL(1506, Level.WARN, "append queue full; record dropped for a later retry", "restore the log service"),
    STORE_APPEND_CONFLICT(
            1507,
            Level.INFO,
            "conditional append conflicts with a newer record",
            "none; the newer record is read first"),
    MEMBER_CHANGED(1508, Level.INFO, "member changed", "none"),
    MEMBERS_READ(1509, Level.INFO, "members read for the first time", "none"),
    STORE_RESTORED(
            1510,
            Level.WARN,
            "store restored from an older copy; reading all records again",
            "follow docs/OPERATIONS.md"),

    REQUEST_COMPLETED(1601, Level.INFO, "response sent", "none"),
    REQUEST_FAILED(
            1602, Level.WARN, "request failed with an error response of the router", "follow docs/OPERATIONS.md"),
    ATTEMPT_REFUSED(1603, Level.INFO, "attempt refused; the request has not run", "none"),
    ATTEMPT_FAILED(1604, Level.WARN, "attempt failed; the request may have run", "check the backend server"),
    REQUEST_GIVEN_UP(1605, Level.INFO, "caller disconnected before the response", "none"),
    DISPATCHED(1606, Level.DEBUG, "request sent to the backend server", "none"),
    RESPONSE_DISCARDED(1607, Level.WARN, "response data that matches no request discarded", "check the backend server"),
    REQUEST_QUARANTINED(1608, Level.WARN, "request refused because it crashed backend servers", "check the request"),
    CRASH_SUSPECTED(1609, Level.WARN, "backend server lost while it ran a request", "check the request"),
    ATTEMPT_CANCELLED(1610, Level.INFO, "attempt cancelled, since its caller disconnected or timed out", "none"),
    CANCELLATION_LATE(
            1611,
            Level.WARN,
            "cancellation from another companion was late",
            "look for SIS-1309 at the companion that sent it"),

    DOMAIN_SHARE_CHANGED(
            1620,
            Level.INFO,
            "requests begin or cease to leave the failure domain",
            "if it lasts, add backend servers to the domain"),

    AUTHORITY_CHANGED(1701, Level.INFO, "lease authority changed", "none"),
    AUTHORITY_CLAIMED(1702, Level.INFO, "claiming the lease authority", "none"),
    AUTHORITY_RESIGNED(1703, Level.INFO, "lease authority relinquished", "none"),
    RENEWAL_DENIED(
            1704, Level.WARN, "lease not renewed", "none; the response contains the records that the holder lacks"),
    KEYS_ASSIGNED(1705, Level.INFO, "key table changed", "none"),
    KEYS_PROPOSED(1706, Level.INFO, "key table proposed", "none"),
    KEYS_RELEASED(1707, Level.INFO, "keys released", "none"),
    KEYS_MOVING(1708, Level.INFO, "moving keys to balance the load", "none"),
    PAUSE_DETECTED(1709, Level.WARN, "process was paused or its clock was set; lease dropped", "check the machine"),
    KEY_ORDER_FAILED(
            1710, Level.WARN, "grant or release not confirmed by the backend server", "none; the order is sent again");

    private final int number;
    private final Level level;
    private final String text;
    private final String remedy;

    LogEvent(int number, Level level, String text, String remedy) {
        this.number = number;
        this.level = level;
        this.text = text;
        this.remedy = remedy;
    }

    /** Returns the identifier in log lines, such as SIS-1203. */
    public String id() {
        return "SIS-" + number;
    }

    int number() {
        return number;
    }

    public Level level() {
        return level;
    }

    public String text() {
        return text;
    }

    public String remedy() {
        return remedy;
    }

    /** Returns the catalogue of all events in Markdown. */
    public static String catalogue() {
        StringBuilder page = new StringBuilder();
        page.append("# Log events\n\n");
        page.append("Every log line of a companion carries one of these numbers. This page is generated from\n");
        page.append("`org.siskintiller.node.LogEvent`; a test compares both.\n\n");
        page.append("| event | level | meaning | remedy |\n| --- | --- | --- | --- |\n");
        for (LogEvent event : values()) {
            page.append("| ").append(event.id()).append(" | ").append(event.level);
            page.append(" | ")
                    .append(event.text)
                    .append(" | ")
                    .append(event.remedy)
                    .append(" |\n");
        }
        return page.toString();
    }
}
