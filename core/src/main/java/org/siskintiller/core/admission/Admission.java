package org.siskintiller.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Queue in front of one backend server. A free concurrency slot goes first to a rank that has credit of its guaranteed
 * share, then to the most urgent waiting rank. Credit is earned in proportion to all work that is dispatched, so a
 * rank that stays within its share does not depend on the others, and a share that is not used is lost to nobody.
 */
public final class Admission<T extends QueuedRequest> {
    /** Time for which a rank may save up its share, so that bursts within the share are served at once. */
    private static final double SAVED_CREDIT_NS = 100_000_000;
    /** Factor on the predicted wait. Without it a rank in overload starts many requests that cannot end in time. */
    private static final double WAIT_MARGIN = 1.25;
    /** Slots that are assumed to be left over at least, so that a prediction stays finite. */
    private static final double LEAST_LEFT_SLOTS = 0.1;

    private final ConcurrencyLimit limit;
    private final Map<String, RankQueue<T>> ranks = new LinkedHashMap<>();
    private List<RankQueue<T>> ordered = List.of();
    private RankQueue<T> defaultRank;
    private int queued;
    private int inFlight;

    public Admission(ConcurrencyLimit limit) {
        this.limit = limit;
        configure(AdmissionSettings.INITIAL);
    }

    /** Applies new settings. A rank that is no longer published is served last until it is empty. */
    public void configure(AdmissionSettings settings) {
        ToIntFunction<String> weights = customer -> settings.weights().getOrDefault(customer, 1);
        List<RankQueue<T>> next = new ArrayList<>();
        for (RankSettings rank : settings.ranks()) {
            RankQueue<T> queue = ranks.remove(rank.name());
            if (queue == null) {
                queue = new RankQueue<>(rank.name(), rank, weights);
            } else {
                queue.configure(rank, weights);
            }
            next.add(queue);
        }
        List<RankQueue<T>> removed = new ArrayList<>(ordered);
        removed.removeAll(next);
        ranks.clear();
        for (RankQueue<T> queue : next) {
            ranks.put(queue.name(), queue);
        }
        defaultRank = ranks.getOrDefault(settings.defaultRank(), next.get(next.size() - 1));
        for (RankQueue<T> queue : removed) {
            if (!queue.idle()) {
                queue.configure(new RankSettings(queue.name(), Integer.MAX_VALUE, 0, 0), weights);
                next.add(queue);
            }
        }
        ordered = List.copyOf(next);
    }

    /** Reserves a place for a request, which is then queued or given back by {@link #releaseReservation}. */
    public AdmissionResult<T> reserve(T request, long nowNs) {
        RankQueue<T> rank = ranks.getOrDefault(request.rank(), defaultRank);
        T evicted = null;
        if (rank.full()) {
            evicted = rank.victimFor(request.customer());
            if (evicted == null) {
                rank.admittedShare().refused(nowNs);
                String detail = "the queue of rank " + rank.name() + " is full at " + rank.queued() + " requests";
                return new AdmissionResult.QueueFull<>(detail, retryAfterMs(rank));
            }
        }
        // A free slot and an idle rank always take a request, so that an outdated mean of service times corrects
        // itself.
        boolean free = rank.idle() || queued == 0 && inFlight < limit.limit();
        double waitNs = free ? 0 : predictedWaitNs(rank, request, nowNs);
        if (!free && nowNs + WAIT_MARGIN * waitNs + serviceNs(rank) > request.deadlineNs()) {
            rank.admittedShare().refused(nowNs);
            String detail = "the predicted wait of " + Math.round(waitNs / 1e6) + " ms exceeds the deadline";
            return new AdmissionResult.TooLate<>(detail, retryAfterMs(rank));
        }
        if (evicted != null) {
            remove(evicted, nowNs);
        }
        rank.admittedShare().admitted(nowNs);
        rank.reserve();
        request.assignTo(rank);
        return new AdmissionResult.Admitted<>(evicted);
    }

    public void releaseReservation(T request, long nowNs) {
        RankQueue<T> rank = rankOf(request);
        rank.releaseReservation();
        rank.admittedShare().dropped(nowNs);
    }

    /** Queues a request that has a reservation. */
    public void enqueue(T request, long nowNs) {
        RankQueue<T> rank = rankOf(request);
        rank.releaseReservation();
        rank.add(request, nowNs);
        queued++;
    }

    /** Removes a waiting request that expired, was given up or was evicted. */
    public boolean remove(T request, long nowNs) {
        RankQueue<T> rank = rankOf(request);
        if (!rank.remove(request)) {
            return false;
        }
        queued--;
        rank.admittedShare().dropped(nowNs);
        return true;
    }

    /** Takes the next request if a slot is free, or returns null. */
    public T next(long nowNs) {
        if (queued == 0 || inFlight >= limit.limit()) {
            return null;
        }
        RankQueue<T> rank = firstWithCredit();
        boolean guaranteed = rank != null;
        if (rank == null) {
            rank = mostUrgent();
        }
        long cost = Math.round(rank.meanServiceNs());
        T request = rank.take(nowNs);
        request.dispatched(cost, guaranteed);
        account(rank, cost, guaranteed);
        queued--;
        inFlight++;
        return request;
    }

    /** Whether a taken request would most likely miss its deadline while others of its rank wait that may not. */
    public boolean cannotMeetDeadline(T request, long nowNs) {
        RankQueue<T> rank = rankOf(request);
        return rank.queued() > 0 && request.deadlineNs() - nowNs < rank.meanServiceNs();
    }

    /**
     * Frees the slot of a request.
     *
     * @param serviceNs time in execution, or -1 when the request did not run
     */
    public void finished(T request, long serviceNs) {
        RankQueue<T> rank = rankOf(request);
        rank.finished(serviceNs);
        inFlight--;
        account(rank, Math.max(0, serviceNs) - request.predictedNs(), request.guaranteed());
    }

    /** Frees the slot of a taken request that is refused before its dispatch. */
    public void refused(T request, long nowNs) {
        rankOf(request).admittedShare().dropped(nowNs);
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
        for (RankQueue<T> rank : ordered) {
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
     * Wait in a rank without a guaranteed share. It gets the slots that the more urgent ranks leave, which are none
     * while those are in overload, however short its own queue is.
     */
    private double leftoverWaitNs(RankQueue<T> rank, long nowNs) {
        int ahead = rank.queued() + 1;
        double urgentSlots = 0;
        for (RankQueue<T> each : ordered) {
            if (each.settings().order() < rank.settings().order()) {
                ahead += each.queued();
                urgentSlots += each.recentSlots(nowNs);
            }
        }
        double leftSlots = Math.max(LEAST_LEFT_SLOTS, limit.limit() - urgentSlots);
        return ahead * serviceNs(rank) / leftSlots;
    }

    /** Mean service time of the rank, or the longest of the others while the rank has not been measured. */
    private double serviceNs(RankQueue<T> rank) {
        double longest = rank.meanServiceNs();
        for (RankQueue<T> each : rank.measured() ? List.<RankQueue<T>>of() : ordered) {
            longest = Math.max(longest, each.meanServiceNs());
        }
        return longest;
    }

    private RankQueue<T> firstWithCredit() {
        for (RankQueue<T> rank : ordered) {
            if (rank.queued() > 0 && rank.creditNs() > 0) {
                return rank;
            }
        }
        return null;
    }

    private RankQueue<T> mostUrgent() {
        for (RankQueue<T> rank : ordered) {
            if (rank.queued() > 0) {
                return rank;
            }
        }
        throw new IllegalStateException("no rank has a waiting request");
    }

    private void account(RankQueue<T> rank, double costNs, boolean guaranteed) {
        for (RankQueue<T> each : ordered) {
            double share = each.settings().share();
            double earned = share * costNs;
            double spent = each == rank && guaranteed ? costNs : 0;
            each.accrue(earned - spent, share * Math.max(1, limit.limit()) * SAVED_CREDIT_NS);
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
