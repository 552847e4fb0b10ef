package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.StateImage;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Replay;

/** One seeded run of companions, requests and faults. The invariants are checked throughout. */
public final class RandomRun {
    private static final long MS = 1_000_000;
    private static final long FAULT_FREE_MS = 60_000;
    private static final long REQUEST_INTERVAL_NS = 8 * MS;
    private static final int MAX_TRACE_LINES = 100_000;
    private static final int SERVERS_PER_SERVICE = 3;
    private static final long WALL_CLOCK_START_MS = 1_760_000_000_000L;

    private final long seed;
    private final long durationMs;
    private final Mutation mutation;
    private final List<Fault> faults;
    private final Random random;
    private final EventQueue queue = new EventQueue();
    private final RunCounters counters = new RunCounters();
    private final FakeLog log;
    private final FakeNetwork network;
    private final Checker checker;
    private final FakeCallers callers;
    private final List<ServiceConfig> services;
    private final List<CompanionProcess> companions = new ArrayList<>();
    private final Map<Incarnation, CompanionProcess> byIncarnation = new HashMap<>();
    private final Map<String, Integer> servedAfterHealing = new HashMap<>();
    private final List<String> trace = new ArrayList<>();
    private final OwnerGaps gaps = new OwnerGaps();
    private ClusterState replayedState = ClusterState.EMPTY;
    private boolean isCountingServed;

    RandomRun(long seed, long durationMs, List<Fault> faults, FaultSettings settings) {
        this.seed = seed;
        this.durationMs = durationMs;
        this.faults = faults;
        this.mutation = settings.mutation();
        random = new Random(seed);
        log = new FakeLog(queue, random, settings, counters);
        services = List.of(
                service("parcel-lookup", true, true, true),
                service("leaflet-catalogue", true, true, false),
                service("commission-desk", false, false, false));
        checker = new Checker(queue, counters, Set.of("parcel-lookup", "leaflet-catalogue"));
        network = new FakeNetwork(queue, random, settings, counters, services.size() * SERVERS_PER_SERVICE);
        callers = new FakeCallers(this);
        for (int i = 0; i < services.size() * SERVERS_PER_SERVICE; i++) {
            ServiceConfig service = services.get(i / SERVERS_PER_SERVICE);
            companions.add(new CompanionProcess(this, i, service.name(), "d" + i % 3, service.checksFence()));
        }
    }

    /** Number of companions in a run. */
    static int companionCount() {
        return 3 * SERVERS_PER_SERVICE;
    }

    private static ServiceConfig service(String name, boolean keyed, boolean idempotent, boolean checksFence) {
        return new ServiceConfig(name, keyed, idempotent, checksFence, 12, 2, 100, "standard", 600_000);
    }

    /** Runs the schedule. Throws InvariantViolation at the first violated invariant. */
    public void run() {
        publishConfig();
        for (CompanionProcess companion : companions) {
            queue.after(random.nextInt(1_500) * MS, companion::start);
        }
        FaultInjector injector = new FaultInjector(this);
        for (Fault fault : faults) {
            queue.after(fault.atMs() * MS, () -> injector.inject(fault));
        }
        queue.after(3_000 * MS, this::sendRequests);
        queue.runUntil(durationMs * MS);
        heal();
        queue.runUntil((durationMs + FAULT_FREE_MS) * MS);
        checkRecovered();
    }

    /** Starts all companions, without faults and requests. The caller advances the time. */
    void startWithoutFaults() {
        publishConfig();
        for (CompanionProcess companion : companions) {
            queue.after(random.nextInt(1_500) * MS, companion::start);
        }
    }

    private void publishConfig() {
        List<RankLimits> limits = List.of(
                new RankLimits("urgent", 50, 50, 400),
                new RankLimits("standard", 30, 50, 400),
                new RankLimits("bulk", 10, 50, 400));
        List<PresetConfig> presets = List.of(
                new PresetConfig("ordinary", limits, 60, 10, 0.2, 1, 1),
                new PresetConfig("peak", limits, 30, 5, 0.2, 1, 1));
        ClusterConfig config = new ClusterConfig(
                services,
                List.of(
                        new RankConfig("urgent", 0, 50),
                        new RankConfig("standard", 1, 200),
                        new RankConfig("bulk", 2, 1000)),
                List.of(new CustomerConfig("customer-1", 1)),
                presets,
                "ordinary");
        log.append(
                new OperationId(98, 0), new LogRecord.ConfigPublished(0, config, "operator-1"), offset -> {}, () -> {});
    }

    private void sendRequests() {
        callers.sendRandom();
        queue.after((long) (REQUEST_INTERVAL_NS * 2 * random.nextDouble()), this::sendRequests);
    }

    private void heal() {
        trace("healed");
        network.heal();
        log.setMode(FakeLog.Mode.UP);
        for (CompanionProcess companion : companions) {
            companion.setCutFromLog(false);
            if (!companion.isRunning()) {
                companion.start();
            }
        }
        queue.after(FAULT_FREE_MS / 2 * MS, () -> {
            isCountingServed = true;
            companions.stream().filter(companion -> !companion.isRunning()).forEach(CompanionProcess::start);
        });
    }

    /**
     * Checks the end of the run, after half a minute without faults and outages: each slot has one owner, each service
     * has served requests, and all companions have the same state.
     */
    private void checkRecovered() {
        ClusterState state = replayedState();
        for (ServiceConfig service : services) {
            for (int slot = 0; slot < service.slots(); slot++) {
                SlotId id = new SlotId(service.name(), slot);
                long owners = companions.stream()
                        .filter(companion -> companion.holdsLease()
                                && companion.control().openSlots().containsKey(id))
                        .count();
                Invariant.ASSIGNMENT_DURABLE.check(
                        owners == 1,
                        id + " has " + owners + " owners after all faults were healed; its assignment is "
                                + state.assignment(service.name(), slot));
            }
            Invariant.ASSIGNMENT_DURABLE.check(
                    servedAfterHealing.getOrDefault(service.name(), 0) > 0,
                    "nothing of " + service.name() + " was served after all faults were healed");
        }
        StateImage expected = state.image();
        for (CompanionProcess companion : companions) {
            boolean atTail = companion.control().state().appliedOffset() == state.appliedOffset();
            Invariant.CONFIG_NEVER_REVERTS.check(
                    !atTail || sameState(companion.control().state().image(), expected),
                    "companion " + companion.index() + " replayed another state");
            Invariant.CONFIG_NEVER_REVERTS.check(
                    companion.control().state().configVersion() == state.configVersion(),
                    "companion " + companion.index() + " is not at configuration version " + state.configVersion());
        }
    }

    /** Leaves out the remembered operations: they depend on the snapshot that a companion started from. */
    private static boolean sameState(StateImage left, StateImage right) {
        return left.slots().equals(right.slots())
                && left.openSessions().equals(right.openSessions())
                && left.config().equals(right.config());
    }

    /** Returns the state after a replay of the whole log. */
    ClusterState replayedState() {
        for (LogEntry entry : log.entries()
                .subList(
                        (int) (replayedState.appliedOffset() + 1), log.entries().size())) {
            replayedState = Replay.apply(replayedState, entry).state();
        }
        return replayedState;
    }

    ClusterConfig publishedConfig() {
        return replayedState().config();
    }

    /** Checks that no other companion with a lease has one of this companion's slots open. */
    void checkOwners(CompanionProcess companion) {
        if (!companion.holdsLease()) {
            return;
        }
        Map<SlotId, Fence> openSlots = companion.control().openSlots();
        for (CompanionProcess other : companions) {
            if (other == companion || !other.service().equals(companion.service()) || !other.holdsLease()) {
                continue;
            }
            for (SlotId slot : other.control().openSlots().keySet()) {
                Invariant.SOLE_OWNER.check(
                        !openSlots.containsKey(slot),
                        slot + " is open at companions " + companion.index() + " and " + other.index());
            }
        }
    }

    void send(CompanionProcess from, Incarnation to, PeerMessage sentMessage) {
        PeerMessage message = isBroken(Mutation.GRANT_ALL_CLAIMS) ? withClaimGranted(sentMessage) : sentMessage;
        CompanionProcess target = byIncarnation.get(to);
        if (target == null) {
            return;
        }
        network.send(
                from.index(),
                target.index(),
                () -> target.submit(0, () -> {
                    if (target.incarnation().equals(to)) {
                        target.onControlEvent(new ControlEvent.MessageReceived(message));
                    }
                }));
    }

    private static PeerMessage withClaimGranted(PeerMessage message) {
        if (!(message instanceof PeerMessage.EndClaimReply)) {
            return message;
        }
        PeerMessage.EndClaimReply reply = (PeerMessage.EndClaimReply) message;
        return new PeerMessage.EndClaimReply(
                reply.witness(), reply.holder(), true, 0, reply.mark(), reply.recordsInLog(), reply.earlierClaimants());
    }

    void report(CompanionProcess companion, ControlAction.Report report) {
        counters.add("notice " + report.notice());
        trace("companion " + companion.index() + " " + companion.incarnation() + " " + report.notice() + " "
                + report.detail());
    }

    void trace(String line) {
        if (trace.size() < MAX_TRACE_LINES) {
            trace.add(String.format("%10.3f s  %s", queue.nowNs() / 1e9, line));
        }
    }

    void recordServed(String service) {
        if (isCountingServed) {
            servedAfterHealing.merge(service, 1, Integer::sum);
        }
    }

    OwnerGaps ownerGaps() {
        return gaps;
    }

    void recordOpened(SlotId slot) {
        gaps.recordOpened(slot, queue.nowNs());
    }

    void recordClosed(SlotId slot) {
        gaps.recordPlannedClose(slot, queue.nowNs());
    }

    void register(CompanionProcess companion) {
        byIncarnation.put(companion.incarnation(), companion);
    }

    /** Returns the running companion with this incarnation, or null. */
    CompanionProcess runningProcess(Incarnation incarnation) {
        CompanionProcess companion = byIncarnation.get(incarnation);
        boolean isCurrent = companion != null
                && companion.isRunning()
                && companion.incarnation().equals(incarnation);
        return isCurrent ? companion : null;
    }

    List<CompanionProcess> runningCompanions() {
        return companions.stream().filter(CompanionProcess::isRunning).toList();
    }

    long wallMs() {
        return WALL_CLOCK_START_MS + queue.nowNs() / MS;
    }

    long seed() {
        return seed;
    }

    List<String> traceLines() {
        return trace;
    }

    /** Whether this mechanism is broken on purpose. */
    boolean isBroken(Mutation mechanism) {
        return mutation == mechanism;
    }

    Random random() {
        return random;
    }

    EventQueue queue() {
        return queue;
    }

    RunCounters counters() {
        return counters;
    }

    FakeLog log() {
        return log;
    }

    FakeNetwork network() {
        return network;
    }

    Checker checker() {
        return checker;
    }

    FakeCallers callers() {
        return callers;
    }

    List<ServiceConfig> services() {
        return services;
    }

    List<CompanionProcess> companions() {
        return companions;
    }
}
