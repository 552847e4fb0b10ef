package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;

/**
 * Appends records until they are read back. An append without a known result is repeated with the same operation id,
 * so that it takes effect at most once.
 */
public final class Appender {
    private static final long FIRST_RETRY_NS = 200_000_000L;
    private static final long LONGEST_RETRY_NS = 2_000_000_000L;
    /** An append that the node never answers is repeated after this time. */
    private static final long UNANSWERED_NS = 5_000_000_000L;

    private final ControlContext context;
    private final SplittableRandom random;
    private final Map<OperationId, Pending> pending = new LinkedHashMap<>();
    private boolean uncertain;

    public Appender(ControlContext context, long seed) {
        this.context = context;
        this.random = new SplittableRandom(seed);
    }

    /** Appends a record and returns its operation id. */
    public OperationId append(LogRecord record) {
        OperationId id = new OperationId(random.nextLong(), random.nextLong());
        pending.put(id, new Pending(record, context.nowNs() + UNANSWERED_NS));
        context.emit(new ControlAction.Append(id, record));
        return id;
    }

    public void onStored(OperationId id) {
        uncertain = false;
        Pending append = pending.get(id);
        if (append != null) {
            append.stored = true;
        }
    }

    /** The log answered a read, so appends may be tried again. */
    void onLogRead() {
        uncertain = false;
    }

    public void onUncertain(OperationId id) {
        uncertain = true;
        Pending append = pending.get(id);
        if (append != null && !append.stored) {
            append.retryNs = Math.min(LONGEST_RETRY_NS, Math.max(FIRST_RETRY_NS, append.retryNs * 2));
            append.nextSendNs = context.nowNs() + append.retryNs;
        }
    }

    /** A record was read from the log. Returns whether this companion had appended it. */
    public boolean onRead(OperationId id) {
        if (pending.remove(id) == null) {
            return false;
        }
        uncertain = false;
        return true;
    }

    /** Repeats the appends that are due. */
    public void tick() {
        List<OperationId> due = new ArrayList<>();
        pending.forEach((id, append) -> {
            if (!append.stored && append.nextSendNs <= context.nowNs()) {
                due.add(id);
            }
        });
        for (OperationId id : due) {
            Pending append = pending.get(id);
            if (isSuperseded(append.record)) {
                pending.remove(id);
                continue;
            }
            append.nextSendNs = context.nowNs() + UNANSWERED_NS;
            context.emit(new ControlAction.Append(id, append.record));
        }
    }

    /** The state jumped to a snapshot, which may hold own records. */
    void onStateReplaced() {
        pending.keySet().removeIf(id -> context.state().hasApplied(id));
    }

    public boolean isPending(OperationId id) {
        return pending.containsKey(id);
    }

    /** Number of appends that were not read back yet. */
    public int pendingCount() {
        return pending.size();
    }

    /** Whether the last answer of the log was a failure. */
    public boolean isLogDown() {
        return uncertain;
    }

    /** Another companion's record has already had the effect of this one. */
    private boolean isSuperseded(LogRecord record) {
        return record instanceof LogRecord.SessionEnded
                && !context.state().isOpen(((LogRecord.SessionEnded) record).incarnation());
    }

    /** Append that was not read back yet. */
    private static final class Pending {
        private final LogRecord record;
        private long nextSendNs;
        private long retryNs;
        private boolean stored;

        Pending(LogRecord record, long nextSendNs) {
            this.record = record;
            this.nextSendNs = nextSendNs;
        }
    }
}
