package org.siskintiller.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.ownership.KeyHash;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Replay;

/** Runs the planner of one service with seeded Zipf loads and replays its proposals. */
final class PlacementSimulation {
    static final String SERVICE = "parcel-lookup";
    static final int SLOTS = 256;
    private static final int KEYS = 20_000;
    private static final double ZIPF_EXPONENT = 0.9;

    private final Planner planner = new BalancedPlanner();
    private final double[] slotLoads = new double[SLOTS];
    private ClusterState state = ClusterState.EMPTY;
    private long operations;
    private long nowNs;
    private int ownerChanges;

    PlacementSimulation(double weightUnavailable, double weightChurn) {
        PresetConfig preset = new PresetConfig("ordinary", List.of(), 600, 10, 0.2, weightUnavailable, weightChurn);
        ServiceConfig service = new ServiceConfig(SERVICE, true, true, true, SLOTS, 2, 500, "urgent", 600_000);
        append(new LogRecord.ConfigPublished(
                0,
                new ClusterConfig(
                        List.of(service),
                        List.of(new RankConfig("urgent", 0, 50)),
                        List.of(),
                        List.of(preset),
                        "ordinary"),
                "test"));
    }

    ClusterState state() {
        return state;
    }

    int ownerChanges() {
        return ownerChanges;
    }

    void join(int id, int failureDomains) {
        Address address = new Address("127.0.0.1", 1 + id);
        append(new LogRecord.SessionOpened(new Session(
                new Incarnation(id),
                "i" + id,
                "d" + id % failureDomains,
                address,
                address,
                new BackendServer(SERVICE, address, 12, 130),
                id == 0 ? List.of() : List.of(new Incarnation(0)),
                0,
                -1,
                false)));
    }

    /** Ends a session. Session 0 is the witness of the others and stays. */
    void lose(int id, int by) {
        append(new LogRecord.SessionEnded(new Incarnation(id), new Incarnation(by), state.appliedOffset()));
    }

    void drain(int id) {
        append(new LogRecord.DrainRequested(new Incarnation(id), "test"));
    }

    /** Draws new keys for the Zipf distribution of load. */
    void changeHotKeys(Random random) {
        java.util.Arrays.fill(slotLoads, 0);
        double sum = 0;
        for (int rank = 1; rank <= KEYS; rank++) {
            sum += Math.pow(rank, -ZIPF_EXPONENT);
        }
        for (int rank = 1; rank <= KEYS; rank++) {
            int slot = KeyHash.slotOf(SERVICE, "parcel-" + random.nextInt(1_000_000_000), SLOTS);
            slotLoads[slot] += 1000 * Math.pow(rank, -ZIPF_EXPONENT) / sum;
        }
    }

    /** Runs the planner once per simulated second and applies its proposals with the activations that follow. */
    void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            nowNs += 1_000_000_000L;
            List<Incarnation> sessions = state.sessionsOf(SERVICE);
            for (LogRecord record : planner.propose(state, sessions.get(0), loads(), nowNs)) {
                applyProposal(record);
            }
        }
    }

    private void applyProposal(LogRecord record) {
        Map<Integer, Incarnation> before = new HashMap<>();
        for (int slot = 0; slot < SLOTS; slot++) {
            before.put(slot, owner(slot));
        }
        append(record);
        Map<Incarnation, List<SlotVersion>> activations = new HashMap<>();
        for (int slot = 0; slot < SLOTS; slot++) {
            Assignment assignment = state.assignment(SERVICE, slot);
            if (before.get(slot) != null && !before.get(slot).equals(owner(slot))) {
                ownerChanges++;
            }
            if (assignment.activatedBy() == null) {
                activations
                        .computeIfAbsent(owner(slot), key -> new ArrayList<>())
                        .add(new SlotVersion(slot, assignment.version()));
            }
        }
        activations.forEach((owner, slots) -> append(new LogRecord.SlotsActivated(SERVICE, slots, owner)));
    }

    private void append(LogRecord record) {
        LogEntry entry = new LogEntry(state.appliedOffset() + 1, new OperationId(1, operations++), record);
        state = Replay.apply(state, entry).state();
    }

    /** First candidate whose session is open, or null. */
    Incarnation owner(int slot) {
        for (Incarnation candidate : state.assignment(SERVICE, slot).candidates()) {
            if (state.isOpen(candidate)) {
                return candidate;
            }
        }
        return null;
    }

    private LoadView loads() {
        Map<SlotId, Double> bySlot = new HashMap<>();
        for (int slot = 0; slot < SLOTS; slot++) {
            bySlot.put(new SlotId(SERVICE, slot), slotLoads[slot]);
        }
        return new LoadView(Map.of(), bySlot, List.of());
    }

    Map<Incarnation, Double> ownerLoads() {
        Map<Incarnation, Double> loads = new HashMap<>();
        for (int slot = 0; slot < SLOTS; slot++) {
            loads.merge(owner(slot), slotLoads[slot], Double::sum);
        }
        return loads;
    }

    double imbalance() {
        Map<Incarnation, Double> loads = ownerLoads();
        double max =
                loads.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        double total = loads.values().stream().mapToDouble(Double::doubleValue).sum();
        return max * state.sessionsOf(SERVICE).size() / total;
    }

    /** Largest slot's load relative to the mean load of the owners. Above 1 no planner can reach a lower imbalance. */
    double largestSlotImbalance() {
        double max = java.util.Arrays.stream(slotLoads).max().orElse(0);
        double total = java.util.Arrays.stream(slotLoads).sum();
        return max * state.sessionsOf(SERVICE).size() / total;
    }
}
