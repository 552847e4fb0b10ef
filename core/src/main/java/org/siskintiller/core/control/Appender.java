package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;

/**
 * Appends records until they are read back. An append whose result is unknown is retried with the same operation id, so
 * that it takes effect at most once.
 */
public final class Appender {
    private static final long MIN_RETRY_DELAY_NS = 200_000_000L;
    private static final long MAX_RETRY_DELAY_NS = 2_000_000_000L;
    /** An append is retried when the node reports no result within this time. */
    private static final long RESPONSE_TIMEOUT_NS = 5_000_000_000L;

    private final ControlContext context;
    private final SplittableRandom random;
    private final Map<OperationId, PendingAppend> pending = new LinkedHashMap<>();
    private boolean logDown;

    public Appender(ControlContext context, long seed) {
        this.context = context;
        this.random = new SplittableRandom(seed);
    }

    /** Appends a record and returns its operation id. */
    public OperationId append(LogRecord record) {
        OperationId id = new OperationId(random.nextLong(), random.nextLong());
        pending.put(id, new PendingAppend(record, context.nowNs() + RESPONSE_TIMEOUT_NS));
        context.emit(new ControlAction.Append(id, record));
        return id;
    }

    public void onStored(OperationId id) {
        logDown = false;
        PendingAppend append = pending.get(id);
        if (append != null) {
            append.stored = true;
        }
    }

    /** The log responded to a read, so it is no longer assumed to be down. */
    void onLogRead() {
        logDown = false;
    }

    public void onUncertain(OperationId id) {
        logDown = true;
        PendingAppend append = pending.get(id);
        if (append != null && !append.stored) {
            append.retryDelayNs = Math.min(MAX_RETRY_DELAY_NS, Math.max(MIN_RETRY_DELAY_NS, append.retryDelayNs * 2));
            append.nextSendNs = context.nowNs() + append.retryDelayNs;
        }
    }

    /** A record was read from the log. Returns whether it was a pending append of this companion. */
    public boolean onRead(OperationId id) {
        if (pending.remove(id) == null) {
            return false;
        }
        logDown = false;
        return true;
    }

    /** Retries the appends whose retry delay has passed. */
    public void tick() {
        List<OperationId> idsToRetry = new ArrayList<>();
        pending.forEach((id, append) -> {
            if (!append.stored && append.nextSendNs <= context.nowNs()) {
                idsToRetry.add(id);
            }
        });
        for (OperationId id : idsToRetry) {
            PendingAppend append = pending.get(id);
            if (isSuperseded(append.record)) {
                pending.remove(id);
                continue;
            }
            append.nextSendNs = context.nowNs() + RESPONSE_TIMEOUT_NS;
            context.emit(new ControlAction.Append(id, append.record));
        }
    }

    /** The state was replaced by a snapshot, which may include pending appends. */
    void onStateReplaced() {
        pending.keySet().removeIf(id -> context.state().hasApplied(id));
    }

    public boolean isPending(OperationId id) {
        return pending.containsKey(id);
    }

    /** Number of appends that have not been read back yet. */
    public int pendingCount() {
        return pending.size();
    }

    /** Whether an append has failed since the log last responded successfully. */
    public boolean isLogDown() {
        return logDown;
    }

    /** Whether another companion's record has already had the effect of this one. */
    private boolean isSuperseded(LogRecord record) {
        return record instanceof LogRecord.SessionEnded
                && !context.state().isOpen(((LogRecord.SessionEnded) record).incarnation());
    }

    /** Append that has not been read back yet. */
    private static final class PendingAppend {
        private final LogRecord record;
        private long nextSendNs;
        private long retryDelayNs;
        private boolean stored;

        PendingAppend(LogRecord record, long nextSendNs) {
            this.record = record;
            this.nextSendNs = nextSendNs;
        }
    }
}
