package org.siskintiller.measure.random;

import java.util.Random;

/** Network between companions with loss, duplication, delay and one-way cuts. */
final class FakeNetwork {
    private static final long MS = 1_000_000;

    private final EventQueue queue;
    private final Random random;
    private final FaultSettings faults;
    private final RunCounters counters;
    private final boolean[][] cut;

    FakeNetwork(EventQueue queue, Random random, FaultSettings faults, RunCounters counters, int companions) {
        this.queue = queue;
        this.random = random;
        this.faults = faults;
        this.counters = counters;
        this.cut = new boolean[companions][companions];
    }

    void setCut(int from, int to, boolean isCut) {
        cut[from][to] = isCut;
    }

    boolean isCut(int from, int to) {
        return cut[from][to];
    }

    void heal() {
        for (boolean[] row : cut) {
            java.util.Arrays.fill(row, false);
        }
    }

    /** Delivers a datagram or message, possibly late, twice or not at all. */
    void send(int from, int to, Runnable delivery) {
        if (cut[from][to]) {
            return;
        }
        if (random.nextDouble() < faults.messageLoss()) {
            counters.add("message lost");
            return;
        }
        queue.after(delayNs(), delivery);
        if (random.nextDouble() < faults.messageDuplication()) {
            counters.add("message doubled");
            queue.after(delayNs(), delivery);
        }
    }

    /** Delivers over a connection, at most once, or runs onConnectionFailed. */
    void connect(int from, int to, Runnable delivery, Runnable onConnectionFailed) {
        if (cut[from][to] || random.nextDouble() < faults.messageLoss() / 2) {
            queue.after(delayNs(), onConnectionFailed);
            return;
        }
        queue.after(delayNs(), delivery);
    }

    private long delayNs() {
        if (random.nextDouble() < faults.longDelay()) {
            counters.add("message delayed");
            return (long) (random.nextDouble() * faults.longDelayMs() * MS);
        }
        return (long) ((0.3 + random.nextDouble() * faults.messageDelayMs()) * MS);
    }
}
