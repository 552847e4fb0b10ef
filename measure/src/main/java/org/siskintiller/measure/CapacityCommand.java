package org.siskintiller.measure;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.control.ControlPlane;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.placement.SpreadPlanner;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Replay;
import org.siskintiller.wire.LogCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the memory of the state and the time of replay, ticks and heartbeats at several numbers of sessions. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measure memory, replay and control cost of one companion at several fleet sizes.")
final class CapacityCommand implements Callable<Integer> {
    private static final int SESSIONS_PER_SERVICE = 100;
    private static final int TICKS = 1_200;
    private static final int HEARTBEATS = 200_000;
    private static final int WITNESSES = 5;
    private static final long TICK_NS = 50_000_000;

    @Option(
            names = "--sessions",
            split = ",",
            defaultValue = "100,300,650,1300,2600,5200",
            description = "Fleet sizes (default: ${DEFAULT-VALUE}).")
    private int[] fleetSizes;

    @Option(
            names = "--slots-per-session",
            defaultValue = "40",
            description = "Slots of each session (default: ${DEFAULT-VALUE}).")
    private int slotsPerSession;

    @Spec
    private CommandSpec spec;

    private long nextOperationNumber;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        out.println("| sessions | slots | state MB | replay us/record | snapshot MB | tick us | heartbeat+ack us |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        measure(fleetSizes[0]);
        for (int size : fleetSizes) {
            out.println(measure(size));
            out.flush();
        }
        return 0;
    }

    private String measure(int sessions) {
        List<LogEntry> log = buildLog(sessions);
        long usedBeforeBytes = usedBytes();
        long startNs = System.nanoTime();
        ClusterState state = ClusterState.EMPTY;
        for (LogEntry entry : log) {
            state = Replay.apply(state, entry).state();
        }
        double replayUs = (System.nanoTime() - startNs) / 1e3 / log.size();
        double stateMb = (usedBytes() - usedBeforeBytes) / 1e6;
        LogEntry snapshot =
                new LogEntry(log.size(), nextOperation(), new LogRecord.Snapshot(state.appliedOffset(), state.image()));
        double snapshotMb = LogCodec.encode(snapshot.record()).length / 1e6;
        return String.format(
                "| %d | %d | %.1f | %.1f | %.2f | %.1f | %.2f |",
                sessions,
                sessions * slotsPerSession,
                stateMb,
                replayUs,
                snapshotMb,
                tickUs(log, sessions),
                heartbeatUs(log, sessions));
    }

    private List<LogEntry> buildLog(int sessions) {
        List<LogEntry> log = new ArrayList<>();
        int services = Math.max(1, sessions / SESSIONS_PER_SERVICE);
        int slots = sessions * slotsPerSession / services;
        List<ServiceConfig> configs = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            configs.add(new ServiceConfig("service-" + i, true, true, true, slots, 2, 500, "standard", 600_000));
        }
        append(
                log,
                new LogRecord.ConfigPublished(
                        0, new ClusterConfig(configs, List.of(), List.of(), List.of(), ""), "operator"));
        for (int i = 0; i < sessions; i++) {
            append(log, new LogRecord.SessionOpened(session(i, services)));
        }
        for (int service = 0; service < services; service++) {
            appendAssignments(log, service, services, sessions, slots);
        }
        return log;
    }

    private void appendAssignments(List<LogEntry> log, int service, int services, int sessions, int slots) {
        List<AssignmentChange> changes = new ArrayList<>();
        List<SlotVersion> versions = new ArrayList<>();
        int sessionsOfService = sessions / services;
        for (int slot = 0; slot < slots; slot++) {
            List<Incarnation> candidates = new ArrayList<>();
            for (int j = 0; j < 3; j++) {
                candidates.add(new Incarnation(1 + service + (long) ((slot + j * 7) % sessionsOfService) * services));
            }
            changes.add(new AssignmentChange(slot, 0, candidates));
            versions.add(new SlotVersion(slot, 1));
        }
        Incarnation owner = changes.get(0).candidates().get(0);
        append(log, new LogRecord.SlotsAssigned("service-" + service, changes, owner, "balance"));
    }

    private Session session(int index, int services) {
        Address address = new Address("10.0." + index / 250 + "." + index % 250, 7_000);
        List<Incarnation> witnesses = new ArrayList<>();
        for (int i = 1; i <= Math.min(WITNESSES, index); i++) {
            witnesses.add(new Incarnation(1 + index - i));
        }
        return new Session(
                new Incarnation(1 + index),
                "instance-" + index,
                "domain-" + index % 4,
                address,
                address,
                new BackendServer("service-" + index % services, address, 12, 130),
                witnesses,
                0,
                -1,
                false);
    }

    private void append(List<LogEntry> log, LogRecord record) {
        log.add(new LogEntry(log.size(), nextOperation(), record));
    }

    private OperationId nextOperation() {
        return new OperationId(1, nextOperationNumber++);
    }

    private double tickUs(List<LogEntry> log, int sessions) {
        ControlPlane plane = createControlPlane(log, sessions);
        long nowNs = 1;
        for (int i = 0; i < TICKS / 4; i++) {
            nowNs += TICK_NS;
            plane.handle(new ControlEvent.Tick(), nowNs);
        }
        long startNs = System.nanoTime();
        for (int i = 0; i < TICKS; i++) {
            nowNs += TICK_NS;
            plane.handle(new ControlEvent.Tick(), nowNs);
        }
        return (System.nanoTime() - startNs) / 1e3 / TICKS;
    }

    private double heartbeatUs(List<LogEntry> log, int sessions) {
        ControlPlane plane = createControlPlane(log, sessions);
        long offset = plane.state().appliedOffset();
        for (int i = 0; i < HEARTBEATS / 4; i++) {
            plane.handle(heartbeat(i, offset), 1_000 + i);
        }
        long startNs = System.nanoTime();
        for (int i = 0; i < HEARTBEATS; i++) {
            plane.handle(heartbeat(i, offset), 1_000_000 + i);
        }
        return (System.nanoTime() - startNs) / 1e3 / HEARTBEATS;
    }

    private static ControlEvent heartbeat(int index, long offset) {
        return new ControlEvent.MessageReceived(
                new PeerMessage.Heartbeat(new Incarnation(1 + index % WITNESSES), index, offset, false));
    }

    /** Creates the control plane of the first session, which has no witnesses and so holds its lease alone. */
    private ControlPlane createControlPlane(List<LogEntry> log, int sessions) {
        int services = Math.max(1, sessions / SESSIONS_PER_SERVICE);
        ControlPlane plane = new ControlPlane(session(0, services), 1, new SpreadPlanner());
        plane.handle(new ControlEvent.BackendServerChanged(true), 0);
        plane.handle(new ControlEvent.RecordsRead(log, true), 0);
        return plane;
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
