package org.siskintiller.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/** Waiting requests of one rank with weighted fair shares between customers. */
final class RankQueue<T extends QueuedRequest> {
    /** Service time that is assumed before one is measured. */
    private static final double INITIAL_SERVICE_NS = 5_000_000;
    /** Intervals that tell the pace of a queue. The first ones of a cold process are many times longer than usual. */
    private static final int LEAST_INTERVALS = 4;
    /** Idle customers whose virtual time is kept. Above this number idle customers are forgotten. */
    private static final int MAX_IDLE_FLOWS = 10_000;

    private final String name;
    private final Map<String, CustomerFlow<T>> flows = new HashMap<>();
    private final TreeSet<CustomerFlow<T>> byVirtualTime =
            new TreeSet<>(Comparator.<CustomerFlow<T>>comparingDouble(CustomerFlow::virtualTime)
                    .thenComparing(CustomerFlow::customer));
    private final TreeSet<CustomerFlow<T>> byLength =
            new TreeSet<>(Comparator.<CustomerFlow<T>>comparingDouble(CustomerFlow::weightedLength)
                    .thenComparing(CustomerFlow::customer));
    private final MovingMean service = new MovingMean(INITIAL_SERVICE_NS);
    private final MovingMean dispatchInterval = new MovingMean(0);
    private final AdmittedShare admittedShare = new AdmittedShare();
    private final RecentWork recentWork = new RecentWork();
    private RankSettings settings;
    private ToIntFunction<String> weights;
    private double virtualTime;
    private double creditNs;
    private int queued;
    private int reserved;
    private int inFlight;
    private int activeWeight;
    private long dispatched;
    private long lastDispatchNs;

    RankQueue(String name, RankSettings settings, ToIntFunction<String> weights) {
        this.name = name;
        this.settings = settings;
        this.weights = weights;
    }

    void configure(RankSettings newSettings, ToIntFunction<String> newWeights) {
        settings = newSettings;
        weights = newWeights;
    }

    void add(T request, long nowNs) {
        CustomerFlow<T> flow = flows.get(request.customer());
        if (flow == null) {
            forgetIdleFlows();
            flow = new CustomerFlow<>(request.customer(), weightOf(request.customer()));
            flows.put(request.customer(), flow);
        }
        if (flow.waiting().isEmpty()) {
            flow.setWeight(weightOf(request.customer()));
            flow.startAt(virtualTime);
            activeWeight += flow.weight();
            byVirtualTime.add(flow);
        } else {
            byLength.remove(flow);
        }
        if (queued == 0) {
            lastDispatchNs = nowNs;
            dispatchInterval.reset();
        }
        flow.waiting().add(request);
        byLength.add(flow);
        queued++;
    }

    boolean remove(T request) {
        CustomerFlow<T> flow = flows.get(request.customer());
        if (flow == null || !flow.waiting().contains(request)) {
            return false;
        }
        byLength.remove(flow);
        flow.waiting().remove(request);
        queued--;
        if (flow.waiting().isEmpty()) {
            byVirtualTime.remove(flow);
            activeWeight -= flow.weight();
        } else {
            byLength.add(flow);
        }
        return true;
    }

    /** Takes the next request: the customer that is furthest behind its share, then the earliest deadline. */
    T take(long nowNs) {
        CustomerFlow<T> flow = byVirtualTime.first();
        T request = flow.waiting().first();
        virtualTime = Math.max(virtualTime, flow.virtualTime());
        remove(request);
        byVirtualTime.remove(flow);
        flow.charge(service.mean());
        if (!flow.waiting().isEmpty()) {
            byVirtualTime.add(flow);
        }
        dispatchInterval.add(nowNs - lastDispatchNs);
        recentWork.add(service.mean(), nowNs);
        lastDispatchNs = nowNs;
        inFlight++;
        dispatched++;
        return request;
    }

    /**
     * Request that makes room for one of the given customer in a full queue, or null if the customer already has its
     * fair share of the queue. It is the last one of the longest queue in proportion to weight.
     */
    T victimFor(String customer) {
        if (byLength.isEmpty()) {
            return null;
        }
        CustomerFlow<T> longest = byLength.last();
        CustomerFlow<T> flow = flows.get(customer);
        int waiting = flow == null ? 0 : flow.waiting().size();
        double lengthAfter = (double) (waiting + 1) / weightOf(customer);
        return lengthAfter < longest.weightedLength() ? longest.waiting().last() : null;
    }

    /** Expected time until a new request of the customer would be dispatched. */
    double predictedWaitNs(String customer, int limit, long nowNs) {
        if (queued == 0) {
            return 0;
        }
        CustomerFlow<T> flow = flows.get(customer);
        int own = flow == null ? 0 : flow.waiting().size();
        int weight = weightOf(customer);
        int active = own == 0 ? activeWeight + weight : activeWeight;
        double ahead = Math.min(queued, (double) (own + 1) * active / weight);
        double interval = dispatchInterval.samples() >= LEAST_INTERVALS
                ? dispatchInterval.mean()
                : service.mean() / Math.max(1, limit);
        double guaranteedSlots = settings.share() * limit;
        if (guaranteedSlots > 0) {
            interval = Math.min(interval, service.mean() / guaranteedSlots);
        }
        return Math.max(ahead * interval, nowNs - lastDispatchNs);
    }

    void accrue(double shareOfNs, double capNs) {
        double cap = Math.max(capNs, 2 * service.mean());
        creditNs = Math.max(-cap, Math.min(cap, creditNs + shareOfNs));
    }

    void finished(long serviceNs) {
        inFlight--;
        if (serviceNs >= 0) {
            service.add(serviceNs);
        }
    }

    void reserve() {
        reserved++;
    }

    void releaseReservation() {
        reserved--;
    }

    boolean full() {
        return queued + reserved >= settings.queueLimit();
    }

    boolean idle() {
        return queued + reserved + inFlight == 0;
    }

    String name() {
        return name;
    }

    RankSettings settings() {
        return settings;
    }

    double creditNs() {
        return creditNs;
    }

    /** Whether a service time has been measured. */
    boolean measured() {
        return service.sampled();
    }

    /** Slots that the requests of this rank kept busy lately. */
    double recentSlots(long nowNs) {
        return recentWork.slots(nowNs);
    }

    double meanServiceNs() {
        return service.mean();
    }

    int queued() {
        return queued;
    }

    int inFlight() {
        return inFlight;
    }

    long dispatched() {
        return dispatched;
    }

    AdmittedShare admittedShare() {
        return admittedShare;
    }

    private int weightOf(String customer) {
        return Math.max(1, weights.applyAsInt(customer));
    }

    private void forgetIdleFlows() {
        if (flows.size() >= MAX_IDLE_FLOWS) {
            flows.values().removeIf(flow -> flow.waiting().isEmpty());
        }
    }
}
