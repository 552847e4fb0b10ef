package org.siskintiller.router.store;

/** Learns from the results of appends what pending reads do not tell. */
public interface AppendObserver {
    /** An append of the given time has no response although a slow store would have responded. */
    void appendOverdue(long sentNs);

    /** An append was rejected because the topic ends at another offset than expected. */
    void endKnown(long end);
}
