package org.siskintiller.core.admission;

import java.util.TreeSet;

/** Queued requests of one customer in one rank, ordered by deadline. */
final class CustomerFlow<T extends QueuedRequest> {
    private final String customer;
    private final TreeSet<T> waiting = new TreeSet<>();
    private int weight;
    private double virtualTime;

    CustomerFlow(String customer, int weight) {
        this.customer = customer;
        this.weight = weight;
    }

    String customer() {
        return customer;
    }

    TreeSet<T> waiting() {
        return waiting;
    }

    int weight() {
        return weight;
    }

    void setWeight(int newWeight) {
        weight = newWeight;
    }

    double virtualTime() {
        return virtualTime;
    }

    /** Advances an idle flow to the rank's virtual time, so that it gains no credit while it is idle. */
    void advanceTo(double rankVirtualTime) {
        virtualTime = Math.max(virtualTime, rankVirtualTime);
    }

    void charge(double cost) {
        virtualTime += cost / weight;
    }

    double weightedLength() {
        return (double) waiting.size() / weight;
    }
}
