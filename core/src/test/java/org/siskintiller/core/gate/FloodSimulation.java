package org.siskintiller.core.gate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.ServiceConfig;

/** Simulates a gate under Poisson arrivals with exponential service times on a virtual clock. */
final class FloodSimulation {
    static final int CONCURRENCY = 12;
    static final double SERVICE_MS = 10;
    static final double CAPACITY_PER_SECOND = CONCURRENCY * 1_000 / SERVICE_MS;
    static final long URGENT_TARGET_MS = 150;

    private static final long MS = 1_000_000;
    private static final long WARM_UP_MS = 1_000;

    private final long seed;
    private final Gate gate;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<RequestId, OpenRequest> openRequests = new HashMap<>();
    private final Map<String, List<Long>> latencies = new HashMap<>();
    private final double serviceFactor;
    private final String slowRank;
    private long nowNs;
    private long sequence;

    /**
     * Creates a simulation of one gate.
     *
     * @param slowRank rank whose mean service time is multiplied by the factor
     */
    FloodSimulation(long seed, String slowRank, double serviceFactor) {
        this.seed = seed;
        this.slowRank = slowRank;
        this.serviceFactor = serviceFactor;
        this.gate = new Gate(
                new BackendServer("lookup", new Address("127.0.0.1", 1), CONCURRENCY, 130), new Incarnation(1));
        apply(gate.handle(new GateEvent.LeaseExtended(Long.MAX_VALUE), 0, 0));
        apply(gate.handle(new GateEvent.ConfigApplied(1, config(), List.of()), 0, 0));
    }

    private static ClusterConfig config() {
        return new ClusterConfig(
                List.of(new ServiceConfig("lookup", true, true, true, 256, 1, 10_000, "normal", 600_000)),
                List.of(
                        new RankConfig("urgent", 0, URGENT_TARGET_MS),
                        new RankConfig("normal", 1, 500),
                        new RankConfig("bulk", 2, 2_000)),
                List.of(new CustomerConfig("small", 1), new CustomerConfig("loud", 1)),
                List.of(new PresetConfig(
                        "ordinary",
                        List.of(
                                new RankLimits("urgent", 30, 100, 150),
                                new RankLimits("normal", 40, 200, 500),
                                new RankLimits("bulk", 30, 400, 2_000)),
                        60,
                        10,
                        0.1,
                        1,
                        1)),
                "ordinary");
    }

    /** Adds Poisson arrivals of a rank and customer that do not depend on other arrivals. */
    void addLoad(String rank, String customer, double perSecond, long deadlineMs) {
        Random random = new Random(seed + 31L * (rank + customer).hashCode());
        after(interarrivalNs(random, perSecond), () -> arrive(random, rank, customer, perSecond, deadlineMs));
    }

    void run(long durationMs) {
        after(0, this::tick);
        while (nowNs < durationMs * MS) {
            Task task = tasks.poll();
            nowNs = task.atNs;
            task.action.run();
        }
    }

    /** Number of requests of a rank and customer that completed within their deadline. */
    int served(String rank, String customer) {
        return latencies.getOrDefault(rank + "/" + customer, List.of()).size();
    }

    /** 99th percentile of the latency of completed requests of a rank and customer. */
    long p99Ms(String rank, String customer) {
        long[] sorted = latencies.get(rank + "/" + customer).stream()
                .mapToLong(Long::longValue)
                .toArray();
        Arrays.sort(sorted);
        return sorted[(int) (sorted.length * 0.99)] / MS;
    }

    GateStats stats() {
        return gate.stats();
    }

    private void arrive(Random random, String rank, String customer, double perSecond, long deadlineMs) {
        after(interarrivalNs(random, perSecond), () -> arrive(random, rank, customer, perSecond, deadlineMs));
        RequestId id = new RequestId(1, ++sequence);
        double meanNs = SERVICE_MS * MS * (rank.equals(slowRank) ? serviceFactor : 1);
        long serviceNs = (long) (-Math.log(1 - random.nextDouble()) * meanNs);
        openRequests.put(id, new OpenRequest(rank, customer, nowNs, serviceNs));
        GateRequest request = new GateRequest(
                id, "lookup", null, customer, rank, true, null, false, 0, nowNs + deadlineMs * MS, id.low(), List.of());
        handle(new GateEvent.Arrived(request));
    }

    private void tick() {
        after(10 * MS, this::tick);
        handle(new GateEvent.Tick());
    }

    private void handle(GateEvent event) {
        apply(gate.handle(event, nowNs, nowNs / MS));
    }

    private void apply(List<GateDecision> decisions) {
        for (GateDecision decision : decisions) {
            if (decision instanceof GateDecision.Dispatch) {
                dispatch((GateDecision.Dispatch) decision);
            } else if (decision instanceof GateDecision.Refuse) {
                openRequests.remove(((GateDecision.Refuse) decision).id());
            }
        }
    }

    private void dispatch(GateDecision.Dispatch dispatch) {
        OpenRequest request = openRequests.get(dispatch.id());
        long leftNs = dispatch.deadlineNs() - nowNs;
        if (request.serviceNs >= leftNs) {
            after(leftNs, () -> handle(new GateEvent.Finished(dispatch.id(), new DispatchOutcome.TimedOut())));
            return;
        }
        after(request.serviceNs, () -> {
            openRequests.remove(dispatch.id());
            if (request.atNs > WARM_UP_MS * MS) {
                latencies
                        .computeIfAbsent(request.rank + "/" + request.customer, key -> new ArrayList<>())
                        .add(nowNs - request.atNs);
            }
            DispatchOutcome answered = new DispatchOutcome.Answered(200, "", Bytes.EMPTY, request.serviceNs);
            handle(new GateEvent.Finished(dispatch.id(), answered));
        });
    }

    private static long interarrivalNs(Random random, double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    }

    private void after(long delayNs, Runnable action) {
        tasks.add(new Task(nowNs + delayNs, ++sequence, action));
    }

    /** Request without an outcome yet. */
    private record OpenRequest(String rank, String customer, long atNs, long serviceNs) {}

    /** Action at a virtual time. */
    private record Task(long atNs, long sequence, Runnable action) implements Comparable<Task> {

        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNs, other.atNs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
