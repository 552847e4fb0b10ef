package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongConsumer;

import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.RequestRecord;

/** Log service in memory with outages, slow answers, lost answers, late appends and limited retention. */
final class FakeLog {
    private static final long ANSWER_NS = 2_000_000;
    private static final long SLOW_NS = 400_000_000;
    private static final long LATE_APPEND_NS = 90_000_000_000L;
    private static final int RETAINED_RECORDS = 4_000;

    private final EventQueue queue;
    private final Random random;
    private final FaultSettings faults;
    private final RunCounters counters;
    private final List<LogEntry> control = new ArrayList<>();
    private final List<RequestRecord> requests = new ArrayList<>();
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
        return control.size();
    }

    List<LogEntry> entries() {
        return control;
    }

    /** Appends one control record. stored gets the offset, uncertain runs when no answer arrives. */
    void append(OperationId id, LogRecord record, LongConsumer stored, Runnable uncertain) {
        if (mode == Mode.DOWN) {
            queue.after(ANSWER_NS, uncertain);
            return;
        }
        if (mode == Mode.FAULTY && random.nextDouble() < faults.lateAppend()) {
            counters.add("late append");
            queue.after((long) (random.nextDouble() * LATE_APPEND_NS), () -> store(id, record));
            queue.after(SLOW_NS, uncertain);
            return;
        }
        queue.after(answerDelay(), () -> {
            long offset = store(id, record);
            if (mode == Mode.FAULTY && random.nextDouble() < faults.answerLoss()) {
                counters.add("lost answer");
                queue.after(SLOW_NS, uncertain);
                return;
            }
            queue.after(answerDelay(), () -> stored.accept(offset));
        });
    }

    private long store(OperationId id, LogRecord record) {
        long offset = control.size();
        control.add(new LogEntry(offset, id, record));
        return offset;
    }

    /** Appends request records. The answers are those of append. */
    void appendRequests(List<RequestRecord> records, Runnable stored, Runnable uncertain) {
        if (mode == Mode.DOWN) {
            queue.after(ANSWER_NS, uncertain);
            return;
        }
        queue.after(answerDelay(), () -> {
            requests.addAll(records);
            boolean lost = mode == Mode.FAULTY && random.nextDouble() < faults.answerLoss();
            queue.after(answerDelay(), lost ? uncertain : stored);
        });
    }

    List<RequestRecord> requestsOrNull() {
        return mode == Mode.DOWN ? null : List.copyOf(requests);
    }

    /** Returns records from the offset on, or null while the log is down. */
    List<LogEntry> readOrNull(long from, int max) {
        if (mode == Mode.DOWN) {
            return null;
        }
        int start = (int) Math.min(from, control.size());
        return List.copyOf(control.subList(start, Math.min(control.size(), start + max)));
    }

    /** First offset that the retention has kept. */
    long firstRetained() {
        return Math.max(0, control.size() - RETAINED_RECORDS);
    }

    private long answerDelay() {
        long base = mode == Mode.SLOW ? SLOW_NS : ANSWER_NS;
        return (long) (base * (0.5 + random.nextDouble()));
    }
}
