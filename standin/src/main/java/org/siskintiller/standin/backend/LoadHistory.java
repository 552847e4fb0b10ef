package org.siskintiller.standin.backend;

import java.util.ArrayDeque;

/** Recent samples of the number of running requests, from which outdated load reports are made. */
final class LoadHistory {
    static final long SAMPLE_INTERVAL_MS = 20;
    private static final int MAX_SAMPLES = 3_000;
    private static final long NS_PER_MS = 1_000_000;

    private final ArrayDeque<Sample> newestFirst = new ArrayDeque<>();

    private record Sample(long sampledNs, int running) {}

    synchronized void add(long nowNs, int running) {
        newestFirst.addFirst(new Sample(nowNs, running));
        if (newestFirst.size() > MAX_SAMPLES) {
            newestFirst.removeLast();
        }
    }

    /** Returns the running requests of the newest sample of at least that age; 0 if there is none. */
    synchronized int runningAt(long nowNs, long ageMs) {
        for (Sample sample : newestFirst) {
            if (nowNs - sample.sampledNs() >= ageMs * NS_PER_MS) {
                return sample.running();
            }
        }
        return 0;
    }
}
