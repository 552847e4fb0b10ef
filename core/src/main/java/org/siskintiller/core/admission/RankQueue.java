package org.siskintiller.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/** Queue of one rank with weighted fair queueing between customers. */
final class RankQueue<T extends QueuedRequest> {
    /** Service time that is assumed until the first sample. */
    private static final double INITIAL_SERVICE_NS = 5_000_000;
    /** Samples before the interval is used: the first ones of a cold process are many times longer than usual. */
    private static final int MIN_INTERVAL_SAMPLES = 4;
    /** Number of customer flows at which the idle ones are discarded with their virtual time. */
    private static final int IDLE_FLOW_CLEANUP_SIZE = 10_000;

    private final String name;
    private final Map<String, CustomerFlow<T>> flows = new HashMap<>();
    private final TreeSet<CustomerFlow<T>> flowsByVirtualTime =
            new TreeSet<>(Comparator.<CustomerFlow<T>>comparingDouble(CustomerFlow::virtualTime)
                    .thenComparing(CustomerFlow::customer));
    private final TreeSet<CustomerFlow<T>> flowsByLength =
            new TreeSet<>(Comparator.<CustomerFlow<T>>comparingDouble(CustomerFlow::weightedLength)
                    .thenComparing(CustomerFlow::customer));
    private final MovingMean serviceTime = new MovingMean(INITIAL_SERVICE_NS);
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
            discardIdleFlows();
            flow = new CustomerFlow<>(request.customer(), weightOf(request.customer()));
            flows.put(request.customer(), flow);
        }
        if (flow.waiting().isEmpty()) {
            flow.setWeight(weightOf(request.customer()));
            flow.advanceTo(virtualTime);
            activeWeight += flow.weight();
            flowsByVirtualTime.add(flow);
        } else {
            flowsByLength.remove(flow);
        }
        if (queued == 0) {
            lastDispatchNs = nowNs;
            dispatchInterval.reset();
        }
        flow.waiting().add(request);
        flowsByLength.add(flow);
        queued++;
    }

    boolean remove(T request) {
        CustomerFlow<T> flow = flows.get(request.customer());
        if (flow == null || !flow.waiting().contains(request)) {
            return false;
        }
        flowsByLength.remove(flow);
        flow.waiting().remove(request);
        queued--;
        if (flow.waiting().isEmpty()) {
            flowsByVirtualTime.remove(flow);
            activeWeight -= flow.weight();
        } else {
            flowsByLength.add(flow);
        }
        return true;
    }

    /** Dequeues the request with the earliest deadline of the customer that is furthest behind its share. */
    T dequeue(long nowNs) {
        CustomerFlow<T> flow = flowsByVirtualTime.first();
        T request = flow.waiting().first();
        virtualTime = Math.max(virtualTime, flow.virtualTime());
        remove(request);
        flowsByVirtualTime.remove(flow);
        flow.charge(serviceTime.mean());
        if (!flow.waiting().isEmpty()) {
            flowsByVirtualTime.add(flow);
        }
        dispatchInterval.add(nowNs - lastDispatchNs);
        recentWork.add(serviceTime.mean(), nowNs);
        lastDispatchNs = nowNs;
        inFlight++;
        dispatched++;
        return request;
    }

    /**
     * Request to evict from a full queue in favour of the given customer, or null if that customer already has its fair
     * share of the queue. It is the last request of the flow that is longest in proportion to its weight.
     */
    T victimFor(String customer) {
        if (flowsByLength.isEmpty()) {
            return null;
        }
        CustomerFlow<T> longest = flowsByLength.last();
        CustomerFlow<T> flow = flows.get(customer);
        int waiting = flow == null ? 0 : flow.waiting().size();
        double lengthAfter = (double) (waiting + 1) / weightOf(customer);
        return lengthAfter < longest.weightedLength() ? longest.waiting().last() : null;
    }

    /** Predicted time until the dispatch of a new request of the customer. */
    double predictedWaitNs(String customer, int limit, long nowNs) {
        if (queued == 0) {
            return 0;
        }
        CustomerFlow<T> flow = flows.get(customer);
        int customerWaiting = flow == null ? 0 : flow.waiting().size();
        int weight = weightOf(customer);
        int totalWeight = customerWaiting == 0 ? activeWeight + weight : activeWeight;
        double requestsAhead = Math.min(queued, (double) (customerWaiting + 1) * totalWeight / weight);
        double intervalNs = dispatchInterval.samples() >= MIN_INTERVAL_SAMPLES
                ? dispatchInterval.mean()
                : serviceTime.mean() / Math.max(1, limit);
        double guaranteedSlots = settings.share() * limit;
        if (guaranteedSlots > 0) {
            intervalNs = Math.min(intervalNs, serviceTime.mean() / guaranteedSlots);
        }
        return Math.max(requestsAhead * intervalNs, nowNs - lastDispatchNs);
    }

    void accrue(double changeNs, double maxCreditNs) {
        double creditBoundNs = Math.max(maxCreditNs, 2 * serviceTime.mean());
        creditNs = Math.max(-creditBoundNs, Math.min(creditBoundNs, creditNs + changeNs));
    }

    void finished(long serviceNs) {
        inFlight--;
        if (serviceNs >= 0) {
            serviceTime.add(serviceNs);
        }
    }

    void reserve() {
        reserved++;
    }

    void releaseReservation() {
        reserved--;
    }

    boolean isFull() {
        return queued + reserved >= settings.queueLimit();
    }

    boolean isIdle() {
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

    /** Whether the mean service time is based on at least one sample. */
    boolean hasServiceSamples() {
        return serviceTime.hasSamples();
    }

    /** Mean number of slots that the requests of this rank recently occupied. */
    double recentMeanSlots(long nowNs) {
        return recentWork.meanSlots(nowNs);
    }

    double meanServiceNs() {
        return serviceTime.mean();
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

    private void discardIdleFlows() {
        if (flows.size() >= IDLE_FLOW_CLEANUP_SIZE) {
            flows.values().removeIf(flow -> flow.waiting().isEmpty());
        }
    }
}
