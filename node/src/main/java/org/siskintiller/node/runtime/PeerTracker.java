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

/** Tracks the requests in flight, the last reported load and the recent failures of each companion. */
final class PeerTracker {
    /** Longer than a takeover, so that the successor is tried first once it serves. */
    private static final long SUSPICION_NS = TimeUnit.SECONDS.toNanos(3);

    private static final long PROBE_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int MAX_ENTRIES = 20_000;

    private final Map<Incarnation, Entry> entries = new ConcurrentHashMap<>();

    void requestStarted(Incarnation incarnation) {
        entry(incarnation).inFlight.incrementAndGet();
    }

    void requestEnded(Incarnation incarnation) {
        entry(incarnation).inFlight.decrementAndGet();
    }

    void loadReported(Incarnation incarnation, double load) {
        Entry entry = entry(incarnation);
        entry.load = load;
        entry.loadReportedNs = Clock.nowNs();
    }

    /** Records that the companion could not be reached or did not respond. */
    void markSuspected(Incarnation incarnation) {
        Entry entry = entry(incarnation);
        long nowNs = Clock.nowNs();
        entry.suspectedUntilNs = nowNs + SUSPICION_NS;
        synchronized (entry) {
            entry.lastProbeNs = entry.suspected ? entry.lastProbeNs : nowNs;
            entry.suspected = true;
        }
    }

    void responseReceived(Incarnation incarnation) {
        entry(incarnation).suspected = false;
    }

    boolean isSuspected(Incarnation incarnation) {
        Entry entry = entries.get(incarnation);
        return entry != null && entry.suspected && entry.suspectedUntilNs - Clock.nowNs() > 0;
    }

    /** Like isSuspected, but allows one request per probe interval, so that a false suspicion ends soon. */
    boolean shouldSkip(Incarnation incarnation) {
        if (!isSuspected(incarnation)) {
            return false;
        }
        Entry entry = entry(incarnation);
        long nowNs = Clock.nowNs();
        synchronized (entry) {
            if (nowNs - entry.lastProbeNs < PROBE_INTERVAL_NS) {
                return true;
            }
            entry.lastProbeNs = nowNs;
            return false;
        }
    }

    /** Returns the candidates for requests of the service that need no owner. */
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
                    nowNs - entry.loadReportedNs,
                    WarmUp.share(entry.firstSeenNs, nowNs),
                    !session.draining() && !isSuspected(incarnation)));
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
        private volatile long loadReportedNs;
        private volatile long suspectedUntilNs;
        private volatile boolean suspected;
        private long lastProbeNs;

        Entry(long nowNs) {
            firstSeenNs = nowNs;
            loadReportedNs = nowNs;
        }
    }
}
