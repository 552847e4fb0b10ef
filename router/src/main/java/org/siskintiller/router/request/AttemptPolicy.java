package org.siskintiller.router.request;

import org.siskintiller.core.path.RequestKind;

/** Decides what follows an attempt that returned no final response. */
final class AttemptPolicy {
    /** Limit of companions to which one request is sent. A request that they refuse reaches no backend server. */
    private static final int MAX_COMPANIONS = 4;

    private AttemptPolicy() {}

    enum Next {
        /** Send the request to the same backend server again, if the retry budget allows it. */
        SAME,
        /** Send the request to another companion. */
        ANOTHER,
        /** Wait for a change of key holders or connections, then retry. */
        PARK,
        /** Respond that the request has not run. */
        REFUSE
    }

    static Next afterRefusal(RefusalReason reason, boolean keyed, int companionsTried) {
        return switch (reason) {
            case QUARANTINED, EXPIRED -> Next.REFUSE;
            case NOT_HOLDER -> Next.PARK;
            case OVERLOADED, REJECTED -> keyed || companionsTried >= MAX_COMPANIONS ? Next.REFUSE : Next.ANOTHER;
            case LEAVING, NO_BACKEND, UNREACHABLE, EVACUATED, OTHER_SERVICE -> afterUnavailable(keyed, companionsTried);
        };
    }

    /** Whether a request that may have run can be sent again. */
    static boolean mayRetry(RequestKind kind, int backendAttempts, int maxAttempts) {
        return kind.repeatable() && backendAttempts < maxAttempts;
    }

    private static Next afterUnavailable(boolean keyed, int companionsTried) {
        if (keyed) {
            return Next.PARK;
        }
        return companionsTried >= MAX_COMPANIONS ? Next.REFUSE : Next.ANOTHER;
    }
}
