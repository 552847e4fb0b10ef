package org.siskintiller.router.control;

import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Log lines of records of the control topic that took effect. */
final class ControlLog {
    private ControlLog() {}

    static void keysAssigned(KeyTable table, long offset) {
        EventLog.log(
                LogEvent.KEYS_ASSIGNED,
                "service",
                table.service(),
                "offset",
                offset,
                "term",
                table.term(),
                "last_fence",
                table.lastFence(),
                "rows",
                table.grants().size());
    }

    static void authorityChanged(AuthorityClaim claim, long offset) {
        EventLog.log(
                LogEvent.AUTHORITY_CHANGED,
                "instance",
                claim.instance(),
                "term",
                claim.term(),
                "resigned",
                claim.resigned(),
                "offset",
                offset);
    }
}
