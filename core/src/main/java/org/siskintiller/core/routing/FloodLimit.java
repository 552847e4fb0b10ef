package org.siskintiller.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.siskintiller.core.model.Incarnation;

/**
 * Forwards about twice as many requests of a rank to an owner as the owner admits. The rest is refused before the hop,
 * so that a flood does not load the connections and gates. The owner decides on each forwarded request.
 */
public final class FloodLimit {
    public static final long RETRY_AFTER_MS = 200;

    /** Forwarded per admitted request. Below 2, a delayed report would throttle a rank that has capacity again. */
    private static final double FORWARDED_PER_ADMITTED = 2;
    /** Minimum share that is forwarded, so that the owner's reports show the end of a flood. */
    private static final double MIN_FORWARDED_SHARE = 0.01;
    /** Decayed request count up to which nothing is refused. */
    private static final double MIN_OFFERED_REQUESTS = 20;

    private static final long COUNT_HALF_LIFE_NS = 500_000_000L;
    /** Age after which a report is ignored. */
    private static final long REPORT_LIFETIME_NS = 3_000_000_000L;

    private static final int MAX_ENTRIES = 20_000;

    private final Map<Target, Entry> entries = new HashMap<>();

    /** Records the share of recent requests of the rank that the owner admitted, from 0 to 1. */
    public void reportAdmittedShare(Incarnation owner, String rank, double admittedShare, long nowNs) {
        Target target = new Target(owner, rank);
        Entry entry = entries.get(target);
        if (entry == null) {
            if (admittedShare >= 1) {
                return;
            }
            removeExpired(nowNs);
            entry = new Entry(nowNs);
            entries.put(target, entry);
        }
        entry.share = Math.max(0, Math.min(1, admittedShare));
        entry.reportedNs = nowNs;
    }

    /** Decides whether a request of the rank is forwarded to the owner, and counts it. */
    public boolean admits(Incarnation owner, String rank, long nowNs) {
        // Only reports of owners create entries, since callers can send any rank name.
        Entry entry = entries.get(new Target(owner, rank));
        if (entry == null) {
            return true;
        }
        entry.decay(nowNs);
        entry.offered++;
        double share = nowNs - entry.reportedNs > REPORT_LIFETIME_NS ? 1 : entry.share;
        double forwardedShare = Math.max(MIN_FORWARDED_SHARE, FORWARDED_PER_ADMITTED * entry.accepted / entry.offered);
        if (share < 1 && entry.offered > MIN_OFFERED_REQUESTS && forwardedShare < 1) {
            entry.credit += forwardedShare;
            if (entry.credit < 1) {
                return false;
            }
            entry.credit--;
        }
        entry.accepted += share;
        return true;
    }

    private void removeExpired(long nowNs) {
        if (entries.size() >= MAX_ENTRIES) {
            entries.values().removeIf(entry -> nowNs - entry.reportedNs > REPORT_LIFETIME_NS);
        }
    }

    /** One rank at one owner. */
    private record Target(Incarnation owner, String rank) {
        private Target {
            Objects.requireNonNull(owner, "owner");
            Objects.requireNonNull(rank, "rank");
        }
    }

    /** Exponentially decayed counts of recent requests, and the last report. */
    private static final class Entry {
        private double offered;
        private double accepted;
        private double credit;
        private double share = 1;
        private long reportedNs;
        private long decayedNs;

        Entry(long nowNs) {
            reportedNs = nowNs;
            decayedNs = nowNs;
        }

        void decay(long nowNs) {
            long elapsedNs = nowNs - decayedNs;
            // Decaying at most every tenth of a half-life keeps the cost per request low.
            if (elapsedNs >= COUNT_HALF_LIFE_NS / 10) {
                double factor = Math.pow(0.5, (double) elapsedNs / COUNT_HALF_LIFE_NS);
                offered *= factor;
                accepted *= factor;
                decayedNs = nowNs;
            }
        }
    }
}
