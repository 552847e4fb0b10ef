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
    /** The backend server itself rejected the request because it is full. */
    REJECTED,
    /** The request crashed several backend servers. */
    QUARANTINED,
    /** The request waited until its deadline. */
    EXPIRED,
    /** The companion of the backend server cannot be reached. */
    UNREACHABLE,
    /** The failure domain of the backend server is evacuated. */
    EVACUATED,
    /** The backend server belongs to another service than the one that the request is for. */
    OTHER_SERVICE;

    private static final RefusalReason[] VALUES = values();

    /** Returns the reason with the given ordinal. An ordinal that only newer companions know counts as unreachable. */
    public static RefusalReason of(int ordinal) {
        return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : UNREACHABLE;
    }
}
