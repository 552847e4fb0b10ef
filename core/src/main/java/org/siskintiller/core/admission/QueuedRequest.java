package org.siskintiller.core.admission;

import java.util.Objects;

/** Request with the attributes that the admission queue uses. Ordered by deadline, then by arrival. */
public class QueuedRequest implements Comparable<QueuedRequest> {
    private final String rank;
    private final String customer;
    private final long deadlineNs;
    private final long sequence;

    /** Set by the queue while the request is queued or runs. */
    private RankQueue<?> rankQueue;

    private long predictedServiceNs;
    private boolean usesGuaranteedShare;

    protected QueuedRequest(String rank, String customer, long deadlineNs, long sequence) {
        this.rank = Objects.requireNonNull(rank, "rank");
        this.customer = Objects.requireNonNull(customer, "customer");
        this.deadlineNs = deadlineNs;
        this.sequence = sequence;
    }

    public final String rank() {
        return rank;
    }

    public final String customer() {
        return customer;
    }

    public final long deadlineNs() {
        return deadlineNs;
    }

    final RankQueue<?> rankQueue() {
        return rankQueue;
    }

    final void assignTo(RankQueue<?> queue) {
        rankQueue = queue;
    }

    final void markDispatched(long serviceNs, boolean fromGuaranteedShare) {
        predictedServiceNs = serviceNs;
        usesGuaranteedShare = fromGuaranteedShare;
    }

    final long predictedServiceNs() {
        return predictedServiceNs;
    }

    final boolean usesGuaranteedShare() {
        return usesGuaranteedShare;
    }

    @Override
    public final int compareTo(QueuedRequest other) {
        int byDeadline = Long.compare(deadlineNs, other.deadlineNs);
        return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
    }

    @Override
    public final boolean equals(Object other) {
        return this == other;
    }

    @Override
    public final int hashCode() {
        return Long.hashCode(sequence);
    }
}
