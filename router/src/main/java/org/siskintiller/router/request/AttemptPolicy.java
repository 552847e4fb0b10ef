package org.siskintiller.router.request;

import org.siskintiller.core.path.RequestKind;

/** Decides what follows an attempt that brought no final response. */
final class AttemptPolicy {
    /** Companions that are asked for one request. Their refusals reach no backend server. */
    private static final int MOST_COMPANIONS = 4;

    private AttemptPolicy() {}

    /** What to do next. */
    enum Next {
        /** Ask another companion. */
        ANOTHER,
        /** Wait for a change of owners or connections, then try again. */
        PARK,
        /** Answer that the request has not run. */
        REFUSE
    }

    static Next afterRefusal(RefusalReason reason, boolean keyed, int companionsAsked) {
        return switch (reason) {
            case QUARANTINED, EXPIRED -> Next.REFUSE;
            case NOT_HOLDER -> Next.PARK;
            case OVERLOADED, REJECTED -> keyed || companionsAsked >= MOST_COMPANIONS ? Next.REFUSE : Next.ANOTHER;
            case LEAVING, NO_BACKEND, UNREACHABLE -> afterUnavailable(keyed, companionsAsked);
        };
    }

    /** Whether a request that may have run can be sent again. */
    static boolean mayRepeat(RequestKind kind, int arrivals, int maxAttempts) {
        return kind.repeatable() && arrivals < maxAttempts;
    }

    private static Next afterUnavailable(boolean keyed, int companionsAsked) {
        if (keyed) {
            return Next.PARK;
        }
        return companionsAsked >= MOST_COMPANIONS ? Next.REFUSE : Next.ANOTHER;
    }
}
