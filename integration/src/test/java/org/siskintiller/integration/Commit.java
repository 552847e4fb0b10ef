package org.siskintiller.integration;

/** Committed execution from the journal of a backend server. Times are of the machine's monotonic clock. */
record Commit(
        String server,
        String execution,
        String key,
        String tag,
        String idempotencyKey,
        String customer,
        long version,
        int candidateIndex,
        long startNs,
        long endNs) {

    /** Whether this commit's fence is lower than the other's. */
    boolean hasLowerFenceThan(Commit other) {
        return version < other.version || version == other.version && candidateIndex < other.candidateIndex;
    }
}
