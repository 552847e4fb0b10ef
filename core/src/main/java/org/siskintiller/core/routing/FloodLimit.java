package org.siskintiller.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.siskintiller.core.model.Incarnation;

/**
 * Passes about twice as much of a rank to an owner as the owner admits. The rest is refused before the hop, so that a
 * flood does not load the connections and gates. The owner still decides about what is passed.
 */
public final class FloodLimit {
    public static final long RETRY_AFTER_MS = 200;

    /** Passed requests over admitted ones. Below 2 a lagging report would throttle a rank that has room again. */
    private static final double HEADROOM = 2;
    /** Least share that is passed, so that the owner's reports show when the flood is over. */
    private static final double MIN_PASSED_SHARE = 0.01;
    /** Requests in the window below which nothing is refused. */
    private static final double MIN_OFFERED = 20;

    private static final long HALF_LIFE_NS = 500_000_000L;
    /** Age at which a report no longer counts. */
    private static final long REPORT_LIFETIME_NS = 3_000_000_000L;

    private static final int MAX_ENTRIES = 20_000;

    private final Map<Target, Entry> entries = new HashMap<>();

    /** Notes the share of recent requests of the rank that the owner admitted, from 0 to 1. */
    public void reportAdmittedShare(Incarnation owner, String rank, double admittedShare, long nowNs) {
        Target target = new Target(owner, rank);
        Entry entry = entries.get(target);
        if (entry == null) {
            if (admittedShare >= 1) {
                return;
            }
            forgetOld(nowNs);
            entry = new Entry(nowNs);
            entries.put(target, entry);
        }
        entry.share = Math.max(0, Math.min(1, admittedShare));
        entry.reportedNs = nowNs;
    }

    /** Whether a request of the rank is passed to the owner. */
    public boolean admits(Incarnation owner, String rank, long nowNs) {
        // Only owners create entries: the rank of a request is whatever its caller names.
        Entry entry = entries.get(new Target(owner, rank));
        if (entry == null) {
            return true;
        }
        entry.decay(nowNs);
        entry.offered++;
        double share = nowNs - entry.reportedNs > REPORT_LIFETIME_NS ? 1 : entry.share;
        double passedShare = Math.max(MIN_PASSED_SHARE, HEADROOM * entry.accepted / entry.offered);
        if (share < 1 && entry.offered > MIN_OFFERED && passedShare < 1) {
            entry.credit += passedShare;
            if (entry.credit < 1) {
                return false;
            }
            entry.credit--;
        }
        entry.accepted += share;
        return true;
    }

    private void forgetOld(long nowNs) {
        if (entries.size() >= MAX_ENTRIES) {
            entries.values().removeIf(old -> nowNs - old.reportedNs > REPORT_LIFETIME_NS);
        }
    }

    /** Rank at one owner. */
    private record Target(Incarnation owner, String rank) {
        private Target {
            Objects.requireNonNull(owner, "owner");
            Objects.requireNonNull(rank, "rank");
        }
    }

    /** Recent requests, whose weight halves every half-life, and the last report. */
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
            // Steps of a tenth keep the cost per request low.
            if (elapsedNs >= HALF_LIFE_NS / 10) {
                double factor = Math.pow(0.5, (double) elapsedNs / HALF_LIFE_NS);
                offered *= factor;
                accepted *= factor;
                decayedNs = nowNs;
            }
        }
    }
}
