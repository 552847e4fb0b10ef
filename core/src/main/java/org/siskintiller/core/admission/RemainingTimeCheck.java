package org.siskintiller.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request still has enough time before its deadline to be sent to the backend server.
 *
 * <p>Load pattern: more requests than the backend server can run, so that those that wait come close to their deadlines.
 * One that is cut at its deadline has taken a slot from others in vain. Kinds of requests differ several times in their
 * service time, so each has a mean of its own. While nothing else waits, a slot is free and a short chance is worth a try.
 */
public final class RemainingTimeCheck {
    /** Minimum time as a share of the mean service time while other requests wait. */
    private static final double MIN_SHARE_UNDER_LOAD = 1.5;
    /** As above while none waits. */
    private static final double MIN_SHARE_OTHERWISE = 0.5;

    /**
     * Minimum time of a request that goes on waiting. The gate checks its queue every 20 ms, and its refusal needs some
     * milliseconds to reach the companion of the caller before that one has to respond.
     */
    private static final long MIN_WAITING_NS = 40_000_000L;

    private final Map<String, MovingMean> serviceNs = new HashMap<>();

    /** Records the service time of a request that succeeded. */
    public void served(String kind, long elapsedNs) {
        serviceNs.computeIfAbsent(kind, name -> new MovingMean(0)).add(elapsedNs);
    }

    /**
     * Whether a request with the given time left should go on waiting. One that waits until its deadline is answered as
     * if it might have run, since the companion of the caller cannot know that it was still queued.
     */
    public boolean mayWait(String kind, long remainingNs, boolean othersWait) {
        return remainingNs >= MIN_WAITING_NS && suffices(kind, remainingNs, othersWait);
    }

    /** Whether a request with the given time left should be sent now. A kind without a sample is always sent. */
    public boolean suffices(String kind, long remainingNs, boolean othersWait) {
        MovingMean mean = serviceNs.get(kind);
        double share = othersWait ? MIN_SHARE_UNDER_LOAD : MIN_SHARE_OTHERWISE;
        return remainingNs > 0 && (mean == null || remainingNs >= mean.mean() * share);
    }
}
