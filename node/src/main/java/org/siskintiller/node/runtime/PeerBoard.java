package org.siskintiller.node.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.siskintiller.core.balance.Candidate;
import org.siskintiller.core.balance.WarmUp;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;

/** What this companion knows of the others from its own requests: in flight, last reported load, no answer lately. */
final class PeerBoard {
    /** Longer than a takeover, so that requests go to the successor first once it serves. */
    private static final long SUSPECT_NS = TimeUnit.SECONDS.toNanos(3);

    private static final long PROBE_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int MAX_ENTRIES = 20_000;

    private final Map<Incarnation, Entry> entries = new ConcurrentHashMap<>();

    void started(Incarnation incarnation) {
        entry(incarnation).inFlight.incrementAndGet();
    }

    void ended(Incarnation incarnation) {
        entry(incarnation).inFlight.decrementAndGet();
    }

    void reported(Incarnation incarnation, double load) {
        Entry entry = entry(incarnation);
        entry.load = load;
        entry.reportedNs = Clock.nowNs();
    }

    /** The companion could not be reached or did not answer. */
    void suspect(Incarnation incarnation) {
        Entry entry = entry(incarnation);
        long nowNs = Clock.nowNs();
        entry.suspectUntilNs = nowNs + SUSPECT_NS;
        synchronized (entry) {
            entry.probedNs = entry.suspected ? entry.probedNs : nowNs;
            entry.suspected = true;
        }
    }

    void answered(Incarnation incarnation) {
        entry(incarnation).suspected = false;
    }

    boolean isSuspect(Incarnation incarnation) {
        Entry entry = entries.get(incarnation);
        return entry != null && entry.suspected && entry.suspectUntilNs - Clock.nowNs() > 0;
    }

    /** Like isSuspect, but lets one request through now and then, so that a false suspicion ends soon. */
    boolean isPassedOver(Incarnation incarnation) {
        if (!isSuspect(incarnation)) {
            return false;
        }
        Entry entry = entry(incarnation);
        long nowNs = Clock.nowNs();
        synchronized (entry) {
            if (nowNs - entry.probedNs < PROBE_INTERVAL_NS) {
                return true;
            }
            entry.probedNs = nowNs;
            return false;
        }
    }

    /** Candidates for requests of the service that need no owner. */
    List<Candidate> candidates(ClusterState state, String service) {
        long nowNs = Clock.nowNs();
        List<Candidate> candidates = new ArrayList<>();
        for (Incarnation incarnation : state.sessionsOf(service)) {
            Session session = state.session(incarnation).orElseThrow();
            Entry entry = entry(incarnation);
            candidates.add(new Candidate(
                    incarnation,
                    session.backendServer().concurrency(),
                    Math.max(0, entry.inFlight.get()),
                    entry.load,
                    nowNs - entry.reportedNs,
                    WarmUp.share(entry.firstSeenNs, nowNs),
                    !session.draining() && !isSuspect(incarnation)));
        }
        return candidates;
    }

    private Entry entry(Incarnation incarnation) {
        if (entries.size() > MAX_ENTRIES) {
            entries.values().removeIf(entry -> entry.inFlight.get() <= 0);
        }
        return entries.computeIfAbsent(incarnation, ignored -> new Entry(Clock.nowNs()));
    }

    /** One companion. */
    private static final class Entry {
        private final AtomicInteger inFlight = new AtomicInteger();
        private final long firstSeenNs;
        private volatile double load;
        private volatile long reportedNs;
        private volatile long suspectUntilNs;
        private volatile boolean suspected;
        private long probedNs;

        Entry(long nowNs) {
            firstSeenNs = nowNs;
            reportedNs = nowNs;
        }
    }
}
