package org.siskintiller.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Admission queue in front of one backend server. A free concurrency slot is assigned first to a rank that has credit
 * from its guaranteed share, then to the most urgent rank with queued requests. Ranks accrue credit in proportion to
 * all dispatched work. A rank within its share is therefore isolated from the load of the other ranks, and the other
 * ranks can use a share that is not needed.
 */
public final class Admission<T extends QueuedRequest> {
    /** Time for which a rank can accumulate credit, so that bursts within its share are dispatched at once. */
    private static final double MAX_CREDIT_NS = 100_000_000;
    /** Factor on the predicted wait. Without it an overloaded rank starts many requests that miss their deadline. */
    private static final double PREDICTED_WAIT_FACTOR = 1.25;
    /** Lower bound on the leftover slots, which keeps the predicted wait finite. */
    private static final double MIN_LEFTOVER_SLOTS = 0.1;

    private final ConcurrencyLimit limit;
    private final Map<String, RankQueue<T>> ranks = new LinkedHashMap<>();
    private List<RankQueue<T>> ranksByUrgency = List.of();
    private RankQueue<T> defaultRank;
    private int queued;
    private int inFlight;

    public Admission(ConcurrencyLimit limit) {
        this.limit = limit;
        configure(AdmissionSettings.INITIAL);
    }

    /** Applies new settings. A rank that was removed from the settings is served last until it is empty. */
    public void configure(AdmissionSettings settings) {
        ToIntFunction<String> weights = customer -> settings.weights().getOrDefault(customer, 1);
        List<RankQueue<T>> configured = new ArrayList<>();
        for (RankSettings rank : settings.ranks()) {
            RankQueue<T> queue = ranks.remove(rank.name());
            if (queue == null) {
                queue = new RankQueue<>(rank.name(), rank, weights);
            } else {
                queue.configure(rank, weights);
            }
            configured.add(queue);
        }
        List<RankQueue<T>> removed = new ArrayList<>(ranksByUrgency);
        removed.removeAll(configured);
        ranks.clear();
        for (RankQueue<T> queue : configured) {
            ranks.put(queue.name(), queue);
        }
        defaultRank = ranks.getOrDefault(settings.defaultRank(), configured.get(configured.size() - 1));
        for (RankQueue<T> queue : removed) {
            if (!queue.isIdle()) {
                queue.configure(new RankSettings(queue.name(), Integer.MAX_VALUE, 0, 0), weights);
                configured.add(queue);
            }
        }
        ranksByUrgency = List.copyOf(configured);
    }

    /** Reserves a place in the queue. The caller then queues the request or calls {@link #releaseReservation}. */
    public AdmissionResult<T> reserve(T request, long nowNs) {
        RankQueue<T> rank = ranks.getOrDefault(request.rank(), defaultRank);
        T evicted = null;
        if (rank.isFull()) {
            evicted = rank.victimFor(request.customer());
            if (evicted == null) {
                rank.admittedShare().recordRefused(nowNs);
                String detail = "the queue of rank " + rank.name() + " is full at " + rank.queued() + " requests";
                return new AdmissionResult.QueueFull<>(detail, retryAfterMs(rank));
            }
        }
        // An idle rank or a free slot admits every request: its service time is a new sample, so that an outdated mean
        // is corrected.
        boolean free = rank.isIdle() || queued == 0 && inFlight < limit.limit();
        double waitNs = free ? 0 : predictedWaitNs(rank, request, nowNs);
        if (!free && nowNs + PREDICTED_WAIT_FACTOR * waitNs + serviceNs(rank) > request.deadlineNs()) {
            rank.admittedShare().recordRefused(nowNs);
            String detail = "the predicted wait of " + Math.round(waitNs / 1e6) + " ms exceeds the deadline";
            return new AdmissionResult.TooLate<>(detail, retryAfterMs(rank));
        }
        if (evicted != null) {
            remove(evicted, nowNs);
        }
        rank.admittedShare().recordAdmitted(nowNs);
        rank.reserve();
        request.assignTo(rank);
        return new AdmissionResult.Admitted<>(evicted);
    }

    public void releaseReservation(T request, long nowNs) {
        RankQueue<T> rank = rankOf(request);
        rank.releaseReservation();
        rank.admittedShare().recordDropped(nowNs);
    }

    /** Queues a request that has a reservation. */
    public void enqueue(T request, long nowNs) {
        RankQueue<T> rank = rankOf(request);
        rank.releaseReservation();
        rank.add(request, nowNs);
        queued++;
    }

    /** Removes a queued request that expired, was cancelled or was evicted. */
    public boolean remove(T request, long nowNs) {
        RankQueue<T> rank = rankOf(request);
        if (!rank.remove(request)) {
            return false;
        }
        queued--;
        rank.admittedShare().recordDropped(nowNs);
        return true;
    }

    /** Dequeues the next request if a slot is free, or returns null. */
    public T next(long nowNs) {
        if (queued == 0 || inFlight >= limit.limit()) {
            return null;
        }
        RankQueue<T> rank = firstRankWithCredit();
        boolean usesGuarantee = rank != null;
        if (rank == null) {
            rank = mostUrgentRank();
        }
        long cost = Math.round(rank.meanServiceNs());
        T request = rank.dequeue(nowNs);
        request.markDispatched(cost, usesGuarantee);
        updateCredits(rank, cost, usesGuarantee);
        queued--;
        inFlight++;
        return request;
    }

    /** Whether a dequeued request is likely to miss its deadline while queued requests of its rank may meet theirs. */
    public boolean cannotMeetDeadline(T request, long nowNs) {
        RankQueue<T> rank = rankOf(request);
        return rank.queued() > 0 && request.deadlineNs() - nowNs < rank.meanServiceNs();
    }

    /**
     * Releases the slot of a request.
     *
     * @param serviceNs execution time, or -1 if the request did not run
     */
    public void finished(T request, long serviceNs) {
        RankQueue<T> rank = rankOf(request);
        rank.finished(serviceNs);
        inFlight--;
        updateCredits(rank, Math.max(0, serviceNs) - request.predictedServiceNs(), request.usesGuaranteedShare());
    }

    /** Releases the slot of a dequeued request that is refused before its dispatch. */
    public void refused(T request, long nowNs) {
        rankOf(request).admittedShare().recordDropped(nowNs);
        finished(request, -1);
    }

    public int queued() {
        return queued;
    }

    public int inFlight() {
        return inFlight;
    }

    public ConcurrencyLimit limit() {
        return limit;
    }

    public List<RankLoad> load(long nowNs) {
        List<RankLoad> loads = new ArrayList<>();
        for (RankQueue<T> rank : ranksByUrgency) {
            rank.admittedShare().decay(nowNs);
            loads.add(new RankLoad(
                    rank.name(),
                    rank.queued(),
                    rank.inFlight(),
                    rank.dispatched(),
                    rank.admittedShare().share()));
        }
        return loads;
    }

    private double predictedWaitNs(RankQueue<T> rank, T request, long nowNs) {
        double waitNs = rank.predictedWaitNs(request.customer(), limit.limit(), nowNs);
        return rank.settings().share() > 0 ? waitNs : Math.max(waitNs, leftoverWaitNs(rank, nowNs));
    }

    /**
     * Predicted wait in a rank without a guaranteed share. Such a rank gets only the slots that more urgent ranks leave
     * free. While those are overloaded there are none, however short its own queue is.
     */
    private double leftoverWaitNs(RankQueue<T> rank, long nowNs) {
        int requestsAhead = rank.queued() + 1;
        double usedSlots = 0;
        for (RankQueue<T> other : ranksByUrgency) {
            if (other.settings().order() < rank.settings().order()) {
                requestsAhead += other.queued();
                usedSlots += other.recentMeanSlots(nowNs);
            }
        }
        double leftoverSlots = Math.max(MIN_LEFTOVER_SLOTS, limit.limit() - usedSlots);
        return requestsAhead * serviceNs(rank) / leftoverSlots;
    }

    /** Mean service time of the rank. Until the rank has a sample, the longest mean of all ranks. */
    private double serviceNs(RankQueue<T> rank) {
        double longest = rank.meanServiceNs();
        for (RankQueue<T> queue : rank.hasServiceSamples() ? List.<RankQueue<T>>of() : ranksByUrgency) {
            longest = Math.max(longest, queue.meanServiceNs());
        }
        return longest;
    }

    private RankQueue<T> firstRankWithCredit() {
        for (RankQueue<T> rank : ranksByUrgency) {
            if (rank.queued() > 0 && rank.creditNs() > 0) {
                return rank;
            }
        }
        return null;
    }

    private RankQueue<T> mostUrgentRank() {
        for (RankQueue<T> rank : ranksByUrgency) {
            if (rank.queued() > 0) {
                return rank;
            }
        }
        throw new IllegalStateException("no rank has a queued request");
    }

    private void updateCredits(RankQueue<T> rank, double costNs, boolean usesGuarantee) {
        for (RankQueue<T> queue : ranksByUrgency) {
            double share = queue.settings().share();
            double earned = share * costNs;
            double spent = queue == rank && usesGuarantee ? costNs : 0;
            queue.accrue(earned - spent, share * Math.max(1, limit.limit()) * MAX_CREDIT_NS);
        }
    }

    private long retryAfterMs(RankQueue<T> rank) {
        double drainNs = rank.queued() * rank.meanServiceNs() / Math.max(1, limit.limit());
        return Math.max(10, Math.min(5_000, Math.round(drainNs / 1e6)));
    }

    @SuppressWarnings("unchecked")
    private RankQueue<T> rankOf(T request) {
        return (RankQueue<T>) request.rankQueue();
    }
}
