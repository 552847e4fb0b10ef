package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongConsumer;

import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.RequestRecord;

/** Log service in memory with outages, slow responses, lost responses, late appends and limited retention. */
final class FakeLog {
    private static final long RESPONSE_NS = 2_000_000;
    private static final long SLOW_RESPONSE_NS = 400_000_000;
    private static final long MAX_LATE_APPEND_NS = 90_000_000_000L;
    private static final int RETAINED_RECORDS = 4_000;

    private final EventQueue queue;
    private final Random random;
    private final FaultSettings faults;
    private final RunCounters counters;
    private final List<LogEntry> controlRecords = new ArrayList<>();
    private final List<RequestRecord> requestRecords = new ArrayList<>();
    private Mode mode = Mode.UP;

    enum Mode {
        UP,
        SLOW,
        FAULTY,
        DOWN
    }

    FakeLog(EventQueue queue, Random random, FaultSettings faults, RunCounters counters) {
        this.queue = queue;
        this.random = random;
        this.faults = faults;
        this.counters = counters;
    }

    void setMode(Mode newMode) {
        mode = newMode;
        counters.add("log " + newMode.name().toLowerCase(java.util.Locale.ROOT));
    }

    Mode mode() {
        return mode;
    }

    long tail() {
        return controlRecords.size();
    }

    List<LogEntry> entries() {
        return controlRecords;
    }

    /** Appends one control record. onStored receives the offset; onUncertain runs if no response arrives. */
    void append(OperationId id, LogRecord record, LongConsumer onStored, Runnable onUncertain) {
        if (mode == Mode.DOWN) {
            queue.after(RESPONSE_NS, onUncertain);
            return;
        }
        if (mode == Mode.FAULTY && random.nextDouble() < faults.lateAppend()) {
            counters.add("late append");
            queue.after((long) (random.nextDouble() * MAX_LATE_APPEND_NS), () -> store(id, record));
            queue.after(SLOW_RESPONSE_NS, onUncertain);
            return;
        }
        queue.after(responseDelayNs(), () -> {
            long offset = store(id, record);
            if (mode == Mode.FAULTY && random.nextDouble() < faults.responseLoss()) {
                counters.add("lost answer");
                queue.after(SLOW_RESPONSE_NS, onUncertain);
                return;
            }
            queue.after(responseDelayNs(), () -> onStored.accept(offset));
        });
    }

    private long store(OperationId id, LogRecord record) {
        long offset = controlRecords.size();
        controlRecords.add(new LogEntry(offset, id, record));
        return offset;
    }

    /** Appends request records. The callbacks are those of append, without an offset. */
    void appendRequests(List<RequestRecord> records, Runnable onStored, Runnable onUncertain) {
        if (mode == Mode.DOWN) {
            queue.after(RESPONSE_NS, onUncertain);
            return;
        }
        queue.after(responseDelayNs(), () -> {
            requestRecords.addAll(records);
            boolean isResponseLost = mode == Mode.FAULTY && random.nextDouble() < faults.responseLoss();
            queue.after(responseDelayNs(), isResponseLost ? onUncertain : onStored);
        });
    }

    List<RequestRecord> requestRecordsOrNull() {
        return mode == Mode.DOWN ? null : List.copyOf(requestRecords);
    }

    /** Returns records from the offset on, or null while the log is down. */
    List<LogEntry> readOrNull(long from, int max) {
        if (mode == Mode.DOWN) {
            return null;
        }
        int start = (int) Math.min(from, controlRecords.size());
        return List.copyOf(controlRecords.subList(start, Math.min(controlRecords.size(), start + max)));
    }

    /** Returns the first offset within the retention. */
    long firstRetained() {
        return Math.max(0, controlRecords.size() - RETAINED_RECORDS);
    }

    private long responseDelayNs() {
        long base = mode == Mode.SLOW ? SLOW_RESPONSE_NS : RESPONSE_NS;
        return (long) (base * (0.5 + random.nextDouble()));
    }
}
