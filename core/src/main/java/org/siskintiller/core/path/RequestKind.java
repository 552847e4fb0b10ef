package org.siskintiller.core.path;

/** What may be repeated of a request. */
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
