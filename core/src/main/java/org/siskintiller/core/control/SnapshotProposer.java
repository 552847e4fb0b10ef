package org.siskintiller.core.control;

import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.Session;

/** Appends a snapshot after a number of records. Sessions that opened later wait for more records. */
final class SnapshotProposer {
    static final int RECORDS_PER_SNAPSHOT = 2_000;

    private static final long CHECK_INTERVAL_NS = 1_000_000_000L;

    private final ControlContext context;
    private final Appender appender;
    private final int recordsPerSnapshot;
    private long nextCheckNs = Long.MIN_VALUE;
    private OperationId pendingAppend;

    SnapshotProposer(ControlContext context, Appender appender, int recordsPerSnapshot) {
        this.context = context;
        this.appender = appender;
        this.recordsPerSnapshot = recordsPerSnapshot;
    }

    void tick(boolean holdsLease) {
        if (pendingAppend != null && !appender.isPending(pendingAppend)) {
            pendingAppend = null;
        }
        long records = context.state().appliedOffset() - context.state().snapshotOffset();
        if (!holdsLease || pendingAppend != null || records < recordsPerSnapshot || context.nowNs() < nextCheckNs) {
            return;
        }
        nextCheckNs = context.nowNs() + CHECK_INTERVAL_NS;
        // Each later session waits for a quarter more records, in case the earlier ones are isolated from the log.
        if (records < recordsPerSnapshot + (long) earlierSessions() * recordsPerSnapshot / 4) {
            return;
        }
        pendingAppend = appender.append(new LogRecord.Snapshot(
                context.state().appliedOffset(), context.state().image()));
        context.report(
                ControlNotice.SNAPSHOT_PROPOSED,
                "through offset " + context.state().appliedOffset());
    }

    private int earlierSessions() {
        long ownOffset = context.state().session(context.self()).orElseThrow().openedOffset();
        int[] earlier = {0};
        context.state().forEachOpenSession((Session session) -> {
            if (session.openedOffset() < ownOffset) {
                earlier[0]++;
            }
        });
        return earlier[0];
    }
}
