package org.siskintiller.ctl;

import java.util.Optional;

import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Outcome;

/**
 * Record of the control stream with its outcome in replay.
 *
 * @param timeMs wall clock time of the log service in ms
 * @param before state before the record; ClusterState.EMPTY when it was not replayed
 * @param outcome empty when the record precedes the snapshot that replay started from
 */
record ReplayedRecord(LogEntry entry, long timeMs, ClusterState before, Optional<Outcome> outcome) {

    /** Whether the record is known to have taken effect. */
    boolean accepted() {
        return outcome.isPresent() && outcome.get() instanceof Outcome.Accepted;
    }
}
