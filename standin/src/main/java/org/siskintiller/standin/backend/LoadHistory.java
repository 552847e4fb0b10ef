package org.siskintiller.standin.backend;

import java.util.ArrayDeque;

/** Recent samples of the running requests, so that a load report can be old. */
final class LoadHistory {
    static final long SAMPLE_INTERVAL_MS = 20;
    private static final int MAX_SAMPLES = 3_000;
    private static final long NS_PER_MS = 1_000_000;

    private final ArrayDeque<Sample> newestFirst = new ArrayDeque<>();

    private record Sample(long ns, int running) {}

    synchronized void add(long nowNs, int running) {
        newestFirst.addFirst(new Sample(nowNs, running));
        if (newestFirst.size() > MAX_SAMPLES) {
            newestFirst.removeLast();
        }
    }

    /** Running requests at that age; 0 when there is no sample that old. */
    synchronized int at(long nowNs, long ageMs) {
        for (Sample sample : newestFirst) {
            if (nowNs - sample.ns() >= ageMs * NS_PER_MS) {
                return sample.running();
            }
        }
        return 0;
    }
}
