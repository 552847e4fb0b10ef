package org.siskintiller.core.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;

import org.siskintiller.core.balance.BackendLoad;

/**
 * Limits what the gate sends to a cold backend server: evenly spaced requests, at the rate that the service allows.
 *
 * <p>Load pattern: a zone that was lost or evacuated returns at full load. Its idle servers attract the requests of all
 * companions, and a cold one that gets twice as much as it can serve crashes.
 */
public final class ColdStartLimit {
    private static final long SECOND_NS = 1_000_000_000L;
    /** Service time that is assumed before one is known. */
    private static final double UNKNOWN_SERVICE_US = 100_000;

    private final ColdBounds bounds;
    private final long startNs;
    /** Times of the requests sent in the last second, also while the server is warm: it may have turned cold since. */
    private final Deque<Long> sentNs = new ArrayDeque<>();

    private boolean cold;
    private boolean configured;
    private double coldPerS;
    private long lastDispatchNs = Long.MIN_VALUE / 2;

    /**
     * Creates the limit for a backend server that has not announced itself.
     *
     * @param startNs start of the process; an earlier one has sent nothing since
     */
    public ColdStartLimit(ColdBounds bounds, long startNs) {
        this.bounds = bounds;
        this.startNs = startNs;
    }

    /** Sets the rate in requests a second that the service states for cold backend servers, 0 if it states none. */
    public void configure(double newColdPerS) {
        configured = true;
        coldPerS = newColdPerS;
    }

    /** Applies the time for which a heartbeat says that the backend server stays cold. */
    public void heartbeat(long coldMs) {
        cold = coldMs > 0;
    }

    /** The evacuation of the failure domain has ended, after which its backend servers may be cold. */
    public void evacuationEnded() {
        cold = true;
    }

    /** Whether the backend server counts as cold. */
    public boolean cold() {
        return cold && bounds.limits();
    }

    /** Whether the backend server must get nothing, because the configuration that states its limit is not known. */
    public boolean unknown() {
        return cold() && !configured;
    }

    /** Whether the rate of requests is limited now. */
    public boolean limited() {
        return cold() && coldPerS > 0;
    }

    /** Returns the earliest time at which the next request may be taken from the queue. */
    public long nextDispatchNs(long nowNs) {
        return limited() ? Math.max(lastDispatchNs + intervalNs(nowNs), nextSendNs(nowNs)) : nowNs;
    }

    public void dispatched(long nowNs) {
        lastDispatchNs = nowNs;
    }

    /**
     * Returns the earliest time at which a request may be sent that was taken from the queue. It is later than now if
     * connections were established late, so that requests would arrive together.
     */
    public long nextSendNs(long nowNs) {
        if (!limited()) {
            return nowNs;
        }
        if (maxInSecond(nowNs) == 0) {
            return startNs + SECOND_NS;
        }
        removeOld(nowNs);
        long next = nowNs;
        int surplus = sentNs.size() - maxInSecond(nowNs);
        for (long sent : sentNs) {
            if (surplus-- < 0) {
                break;
            }
            next = sent + SECOND_NS;
        }
        return next;
    }

    public void sent(long nowNs) {
        removeOld(nowNs);
        sentNs.addLast(nowNs);
    }

    /** Returns the time at which a request is sent before which others wait. */
    public long expectedSendNs(int waitingBefore, long nowNs) {
        long expectedNs = nextDispatchNs(nowNs);
        for (int i = 0; i < waitingBefore && limited(); i++) {
            expectedNs += intervalNs(expectedNs);
        }
        return expectedNs;
    }

    /** Returns the load with the capacity that the limit leaves: fewer slots, or a longer time in each of them. */
    public BackendLoad limit(BackendLoad load) {
        if (!limited()) {
            return load;
        }
        double perS = coldPerS * bounds.overage();
        double serviceUs = load.meanServiceUs() == 0 ? UNKNOWN_SERVICE_US : load.meanServiceUs();
        int slots = (int) Math.max(1, Math.min(load.slots(), perS * serviceUs / 1e6));
        int limitedUs = (int) Math.ceil(Math.max(serviceUs, slots * 1e6 / perS));
        return new BackendLoad(load.running(), load.queued(), slots, limitedUs, load.workPercent());
    }

    /** An earlier process may have sent as much as the rate allows in the second before this one started. */
    private boolean isFirstSecond(long nowNs) {
        return nowNs - startNs < SECOND_NS;
    }

    private double perSecond(long nowNs) {
        double perS = coldPerS * bounds.overage();
        return isFirstSecond(nowNs) ? Math.min(bounds.slack(), perS) : perS;
    }

    private long intervalNs(long nowNs) {
        double perS = perSecond(nowNs);
        return (long) Math.ceil(SECOND_NS / (perS > 0 ? perS : coldPerS * bounds.overage()));
    }

    private int maxInSecond(long nowNs) {
        return (int) Math.ceil(perSecond(nowNs));
    }

    private void removeOld(long nowNs) {
        while (!sentNs.isEmpty() && nowNs - sentNs.peekFirst() >= SECOND_NS) {
            sentNs.removeFirst();
        }
    }
}
