package org.siskintiller.router.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.admission.AdmissionResult;
import org.siskintiller.core.admission.AdmissionSettings;
import org.siskintiller.core.admission.RankSettings;
import org.siskintiller.router.request.ForwardedRequest;

/** Ranks of the queue in front of a backend server. */
final class GateSettings {
    /** Calls that backend servers make for running requests. A delayed call occupies a slot of its caller. */
    static final String INTERNAL = "internal";
    /** Requests past their latency objective. They use the capacity that the other ranks leave. */
    static final String LATE = "late";

    private static final int PRIORITIES = 4;
    /** Guaranteed share of each priority, so that none starves under a flood of a more urgent one. */
    private static final double PRIORITY_SHARE = 0.1;
    /** Maximum queue of a rank. The predicted wait limits it long before, except with very short requests. */
    private static final int QUEUE_LIMIT = 200;

    /** Retry-After of refusals for which there is no estimate. */
    static final long DEFAULT_RETRY_AFTER_MS = 250;

    private GateSettings() {}

    static long retryAfterMs(AdmissionResult<GateCall> result) {
        if (result instanceof AdmissionResult.QueueFull<GateCall> full) {
            return full.retryAfterMs();
        }
        if (result instanceof AdmissionResult.TooLate<GateCall> tooLate) {
            return tooLate.retryAfterMs();
        }
        return DEFAULT_RETRY_AFTER_MS;
    }

    static AdmissionSettings ranks() {
        List<RankSettings> ranks = new ArrayList<>();
        ranks.add(new RankSettings(INTERNAL, 0, 0, QUEUE_LIMIT));
        for (int priority = 0; priority < PRIORITIES; priority++) {
            ranks.add(new RankSettings(rank(priority), priority + 1, PRIORITY_SHARE, QUEUE_LIMIT));
        }
        ranks.add(new RankSettings(LATE, PRIORITIES + 1, 0, QUEUE_LIMIT));
        return new AdmissionSettings(ranks, Map.of(), LATE);
    }

    /** Kind of a request by its service time: calls of running requests, and requests by their priority. */
    static String kind(ForwardedRequest request) {
        return request.internal() ? INTERNAL : rank(request.priority());
    }

    static String rank(int priority) {
        return "priority-" + Math.max(0, Math.min(PRIORITIES - 1, priority));
    }
}
