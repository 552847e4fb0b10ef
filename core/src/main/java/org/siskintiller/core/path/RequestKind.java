package org.siskintiller.core.path;

/** Kind of a request, which decides whether it may be repeated. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT,
    /** Idempotent with a large response. */
    DOWNLOAD;

    public boolean repeatable() {
        return this != NON_IDEMPOTENT;
    }
}
