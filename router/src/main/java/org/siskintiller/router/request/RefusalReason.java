package org.siskintiller.router.request;

/** Why a request was not run. */
public enum RefusalReason {
    /** The queue in front of the backend server cannot serve it in time. */
    OVERLOADED,
    /** The backend server is leaving or its companion stops. */
    LEAVING,
    /** The backend server has not announced itself or cannot be reached. */
    NO_BACKEND,
    /** The backend server does not hold the key. */
    NOT_HOLDER,
    /** The backend server itself rejected it as full. */
    REJECTED,
    /** It crashed several backend servers. */
    QUARANTINED,
    /** It waited until its deadline. */
    EXPIRED,
    /** Its companion cannot be reached. */
    UNREACHABLE;

    private static final RefusalReason[] VALUES = values();

    /** Returns the reason with the given ordinal; unknown ones of newer companions count as unreachable. */
    public static RefusalReason of(int ordinal) {
        return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : UNREACHABLE;
    }
}
