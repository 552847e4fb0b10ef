package org.siskintiller.core.admission;

import java.util.TreeSet;

/** Waiting requests of one customer in one rank, earliest deadline first. */
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

    /** A flow that was idle starts at the rank's time, so that it gains no credit while it is idle. */
    void startAt(double rankTime) {
        virtualTime = Math.max(virtualTime, rankTime);
    }

    void charge(double cost) {
        virtualTime += cost / weight;
    }

    double weightedLength() {
        return (double) waiting.size() / weight;
    }
}
