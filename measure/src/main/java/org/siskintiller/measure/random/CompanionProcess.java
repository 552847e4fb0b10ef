package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.control.ControlPlane;
import org.siskintiller.core.gate.DispatchOutcome;
import org.siskintiller.core.gate.Gate;
import org.siskintiller.core.gate.GateDecision;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.StateImage.RemovedCustomer;
import org.siskintiller.core.placement.BalancedPlanner;

/** One companion with its control plane, gate and backend server, driven in virtual time on a clock of its own. */
final class CompanionProcess {
    private static final long MS = 1_000_000;
    private static final long TICK_NS = 50 * MS;
    private static final long LOG_POLL_NS = 60 * MS;
    private static final long WALL_CLOCK_START_MS = 1_760_000_000_000L;
    private static final int READ_BATCH = 64;
    private static final int RECORDS_PER_SNAPSHOT = 300;

    private final RandomRun run;
    private final int index;
    private final String service;
    private final String failureDomain;
    private final double clockRate;
    private final Random random;
    private final FakeBackendServer server;
    private final Map<RequestId, GateRequest> requests = new HashMap<>();
    private final Map<RequestId, GateRequest> dispatched = new HashMap<>();
    private Incarnation incarnation;
    private ControlPlane control;
    private Gate gate;
    private SecondCopyStores copyStores;
    private int generation;
    private boolean running;
    private boolean isCutFromLog;
    private boolean isServerUp;
    private long pausedUntilNs;
    private long nextOffset;
    private long configVersion;
    private long maxAppliedOffset = -1;
    private long leaseExpiryNs = Long.MIN_VALUE;
    private long serverClockNs = Long.MIN_VALUE;
    private long serverClockReceivedNs;

    CompanionProcess(RandomRun run, int index, String service, String failureDomain, boolean checksFence) {
        this.run = run;
        this.index = index;
        this.service = service;
        this.failureDomain = failureDomain;
        this.random = run.random();
        this.clockRate = 1 + (random.nextDouble() - 0.5) * 0.009;
        double serverRate = 1 + (random.nextDouble() - 0.5) * 0.009;
        this.server = new FakeBackendServer(index, checksFence, run.queue(), random, run.checker(), serverRate);
    }

    int index() {
        return index;
    }

    String service() {
        return service;
    }

    String failureDomain() {
        return failureDomain;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    ControlPlane control() {
        return control;
    }

    FakeBackendServer server() {
        return server;
    }

    Gate gate() {
        return gate;
    }

    boolean isCutFromLog() {
        return isCutFromLog;
    }

    boolean isRunning() {
        return running;
    }

    boolean isPaused() {
        return run.queue().nowNs() < pausedUntilNs;
    }

    boolean holdsLease() {
        return running && control.holdsLease(localNs());
    }

    long localNs() {
        return (long) (run.queue().nowNs() * clockRate) + 1;
    }

    private long wallMs() {
        return WALL_CLOCK_START_MS + localNs() / MS;
    }

    /** Starts a new process of the companion. */
    void start() {
        generation++;
        running = true;
        isServerUp = true;
        run.checker().recordRestart(index);
        run.trace("companion " + index + " starts");
        pausedUntilNs = 0;
        startIncarnation();
        submit(0, this::tick);
        submit(0, this::pollLog);
    }

    /** Starts a new incarnation. The backend server and the requests that run there are kept. */
    private void startIncarnation() {
        incarnation = new Incarnation(random.nextLong());
        run.register(this);
        Address address = new Address("127.0.0.1", 7000 + index);
        BackendServer backendServer = new BackendServer(service, address, 12, 110);
        Session session = new Session(
                incarnation, "i" + index, failureDomain, address, address, backendServer, List.of(), 0, -1, false);
        control = new ControlPlane(session, random.nextLong(), new BalancedPlanner(), RECORDS_PER_SNAPSHOT);
        gate = new Gate(backendServer, incarnation);
        dispatched.clear();
        copyStores = new SecondCopyStores(run, this);
        configVersion = 0;
        maxAppliedOffset = -1;
        nextOffset = 0;
        leaseExpiryNs = Long.MIN_VALUE;
        onControlEvent(new ControlEvent.BackendServerChanged(isServerUp));
    }

    void kill() {
        running = false;
        generation++;
        run.counters().add("companion killed");
    }

    void pause(long durationNs) {
        pausedUntilNs = run.queue().nowNs() + durationNs;
    }

    void setCutFromLog(boolean isCut) {
        isCutFromLog = isCut;
    }

    void stopGracefully() {
        submit(0, () -> {
            run.checker().recordStopRequested(index);
            run.trace("companion " + index + " is asked to stop");
            if (run.isBroken(Mutation.IGNORE_DRAIN)) {
                return;
            }
            if (run.isBroken(Mutation.STOP_AT_ONCE)) {
                completeStop();
                return;
            }
            onGateEvent(new GateEvent.DrainStarted());
            onControlEvent(new ControlEvent.StopRequested("operator"));
        });
    }

    /** Crashes the backend server's process and restarts it after a delay. */
    void crashServer(long restartDelayNs) {
        server.crash();
        isServerUp = false;
        run.counters().add("server crashed");
        submit(MS, () -> {
            for (RequestId id : List.copyOf(dispatched.keySet())) {
                finish(id, new DispatchOutcome.Broken("connection reset"));
            }
            onControlEvent(new ControlEvent.BackendServerChanged(false));
        });
        int crashGeneration = server.generation();
        run.queue().after(restartDelayNs, () -> {
            if (server.generation() == crashGeneration) {
                isServerUp = true;
                submit(0, () -> onControlEvent(new ControlEvent.BackendServerChanged(true)));
            }
        });
    }

    /** Runs a step after a delay, or at the end of a pause. Steps of an earlier process generation are dropped. */
    void submit(long delayNs, Runnable step) {
        int submitGeneration = generation;
        run.queue().after(delayNs, () -> runStep(submitGeneration, step));
    }

    private void runStep(int submitGeneration, Runnable step) {
        if (submitGeneration != generation || !running) {
            return;
        }
        if (isPaused()) {
            run.queue().after(pausedUntilNs - run.queue().nowNs(), () -> runStep(submitGeneration, step));
            return;
        }
        step.run();
    }

    private void tick() {
        onControlEvent(new ControlEvent.Tick());
        onGateEvent(new GateEvent.Tick());
        run.checkOwners(this);
        submit(TICK_NS, this::tick);
    }

    private void pollLog() {
        List<LogEntry> batch = isCutFromLog ? null : run.log().readOrNull(nextOffset, READ_BATCH);
        if (batch != null) {
            List<LogEntry> delivered = run.isBroken(Mutation.SKIP_CONFIGURATION) ? withoutConfiguration(batch) : batch;
            boolean atTail = nextOffset + batch.size() >= run.log().tail();
            ControlPlane reader = control;
            submit(2 * MS, () -> {
                if (control == reader) {
                    nextOffset = batch.isEmpty()
                            ? nextOffset
                            : batch.get(batch.size() - 1).offset() + 1;
                    onControlEvent(new ControlEvent.RecordsRead(delivered, atTail));
                }
            });
        }
        submit(LOG_POLL_NS, this::pollLog);
    }

    /** Replaces changes of the configuration by records without effect, at one companion. */
    private List<LogEntry> withoutConfiguration(List<LogEntry> entries) {
        if (index != 0) {
            return entries;
        }
        List<LogEntry> changed = new ArrayList<>();
        for (LogEntry entry : entries) {
            boolean isSkipped = entry.record() instanceof LogRecord.PresetSwitched
                    || entry.record() instanceof LogRecord.ConfigPublished && entry.offset() > 0;
            LogRecord record = isSkipped ? new LogRecord.Audited(new AuditEntry("", "", "", "", "")) : entry.record();
            changed.add(new LogEntry(entry.offset(), entry.operationId(), record));
        }
        return changed;
    }

    /** Passes an event to the control plane and performs its actions. */
    void onControlEvent(ControlEvent event) {
        ControlPlane current = control;
        for (ControlAction action : current.handle(event, localNs())) {
            if (control != current || !running) {
                return;
            }
            perform(action);
        }
    }

    private void perform(ControlAction action) {
        if (action instanceof ControlAction.Send) {
            ControlAction.Send send = (ControlAction.Send) action;
            run.send(this, send.to(), send.message());
        } else if (action instanceof ControlAction.Append) {
            append((ControlAction.Append) action);
        } else if (action instanceof ControlAction.LeaseExtended) {
            leaseExpiryNs = ((ControlAction.LeaseExtended) action).expiryNs();
            onGateEvent(new GateEvent.LeaseExtended(leaseExpiryNs));
            sendGrants();
        } else if (action instanceof ControlAction.OpenSlots) {
            openSlots((ControlAction.OpenSlots) action);
        } else if (action instanceof ControlAction.CloseSlots) {
            ControlAction.CloseSlots close = (ControlAction.CloseSlots) action;
            run.counters().add("slots closed");
            close.slots().forEach(slot -> run.recordClosed(new SlotId(close.service(), slot.slot())));
            onGateEvent(new GateEvent.SlotsClosing(close.service(), close.slots()));
        } else if (action instanceof ControlAction.StoreRecords) {
            ControlAction.StoreRecords store = (ControlAction.StoreRecords) action;
            if (run.isBroken(Mutation.FORGET_RECORDS)) {
                return;
            }
            onGateEvent(new GateEvent.RecordsReceived(store.reset(), store.records()));
        } else if (action instanceof ControlAction.RecordsReplicated) {
            copyStores.onStored(((ControlAction.RecordsReplicated) action).sequence());
        } else if (action instanceof ControlAction.RecordsInLogConfirmed) {
            onGateEvent(new GateEvent.RecordsInLogConfirmed());
        } else if (action instanceof ControlAction.StateChanged) {
            applyStateChange();
        } else if (action instanceof ControlAction.QuiesceCustomer) {
            ControlAction.QuiesceCustomer quiesce = (ControlAction.QuiesceCustomer) action;
            onGateEvent(new GateEvent.CustomerQuiescing(quiesce.customer(), quiesce.removalOffset()));
        } else if (action instanceof ControlAction.Retire) {
            run.counters().add("incarnation retired");
            run.trace("companion " + index + " retires " + incarnation);
            startIncarnation();
        } else if (action instanceof ControlAction.Stopped) {
            completeStop();
        } else if (action instanceof ControlAction.Report) {
            run.report(this, (ControlAction.Report) action);
        }
    }

    private void completeStop() {
        run.counters().add("planned stop completed");
        run.trace("companion " + index + " stopped");
        Invariant.GRACEFUL_STOP.check(
                dispatched.isEmpty(), "companion " + index + " stopped while requests ran: " + dispatched.keySet());
        running = false;
        generation++;
    }

    private void append(ControlAction.Append append) {
        if (isCutFromLog) {
            submit(MS, () -> onControlEvent(new ControlEvent.AppendUncertain(append.operationId())));
            return;
        }
        run.log()
                .append(
                        append.operationId(),
                        append.record(),
                        offset -> submit(
                                0, () -> onControlEvent(new ControlEvent.AppendStored(append.operationId(), offset))),
                        () -> submit(0, () -> onControlEvent(new ControlEvent.AppendUncertain(append.operationId()))));
    }

    private void openSlots(ControlAction.OpenSlots action) {
        run.counters().add("slots opened");
        Invariant.CONFIG_NEVER_REVERTS.check(
                control.state().isOpen(incarnation),
                "companion " + index + " opens slots without an open session of its own");
        onGateEvent(new GateEvent.SlotsOpened(
                action.service(),
                action.slots(),
                action.standby(),
                action.recordsComplete(),
                action.readRequestsStream()));
        sendGrants();
        run.checkOwners(this);
        action.slots().forEach(slot -> run.recordOpened(new SlotId(action.service(), slot.slot())));
    }

    /** Sends the open slots with the lease's end on the server's clock, as PUT /grants does. */
    private void sendGrants() {
        if (!server.checksFence()) {
            return;
        }
        Map<SlotId, Fence> slots = new HashMap<>(control.openSlots());
        long expiryNs = leaseExpiryNs == Long.MIN_VALUE || serverClockNs == Long.MIN_VALUE
                ? Long.MIN_VALUE
                : serverClockNs + (leaseExpiryNs - serverClockReceivedNs) / 100 * 99;
        int serverGeneration = server.generation();
        submit((long) (random.nextDouble() * 2 * MS), () -> {
            if (server.generation() != serverGeneration) {
                return;
            }
            server.grant(slots, expiryNs);
            long clockNs = server.clockNs();
            submit((long) (random.nextDouble() * 2 * MS), () -> {
                serverClockNs = clockNs;
                serverClockReceivedNs = localNs();
            });
        });
    }

    private void applyStateChange() {
        long applied = control.state().appliedOffset();
        Invariant.CONFIG_NEVER_REVERTS.check(
                control.state().configVersion() >= configVersion,
                "companion " + index + " fell from configuration version " + configVersion);
        Invariant.CONFIG_NEVER_REVERTS.check(
                applied >= maxAppliedOffset, "companion " + index + " fell from applied offset " + maxAppliedOffset);
        maxAppliedOffset = applied;
        if (control.state().configVersion() == configVersion) {
            return;
        }
        configVersion = control.state().configVersion();
        List<String> removed = new ArrayList<>();
        for (RemovedCustomer customer : control.state().removedCustomers()) {
            removed.add(customer.customer());
        }
        onGateEvent(new GateEvent.ConfigApplied(configVersion, control.state().config(), removed));
    }

    /** Passes an event to the gate and performs its decisions. */
    void onGateEvent(GateEvent event) {
        Gate current = gate;
        for (GateDecision decision : current.handle(event, localNs(), wallMs())) {
            if (gate != current || !running) {
                return;
            }
            perform(decision);
        }
    }

    /** Accepts a request that a caller sent through an ingress companion. */
    void receiveRequest(GateRequest request) {
        dispatched.remove(request.id());
        run.counters().add("arrived");
        requests.put(request.id(), request);
        onGateEvent(new GateEvent.Arrived(request));
    }

    private void perform(GateDecision decision) {
        if (decision instanceof GateDecision.Dispatch) {
            dispatch((GateDecision.Dispatch) decision);
        } else if (decision instanceof GateDecision.Refuse) {
            GateDecision.Refuse refuse = (GateDecision.Refuse) decision;
            requests.remove(refuse.id());
            run.callers().onRefused(this, refuse.id(), refuse.refusal().kind());
        } else if (decision instanceof GateDecision.Replay) {
            GateDecision.Replay replay = (GateDecision.Replay) decision;
            requests.remove(replay.id());
            run.callers().onReplayed(replay.id());
        } else if (decision instanceof GateDecision.StoreAtStandby) {
            copyStores.storeAtStandby((GateDecision.StoreAtStandby) decision);
        } else if (decision instanceof GateDecision.StoreInLog) {
            copyStores.storeInLog((GateDecision.StoreInLog) decision);
        } else if (decision instanceof GateDecision.RequestRecordsInLog) {
            run.counters().add("records in log requested");
            onControlEvent(new ControlEvent.RecordsInLogRequested());
        } else if (decision instanceof GateDecision.ReadRequestsStream) {
            run.counters().add("requests stream read");
            copyStores.readRequests();
        } else if (decision instanceof GateDecision.SlotsQuiesced) {
            GateDecision.SlotsQuiesced quiesced = (GateDecision.SlotsQuiesced) decision;
            onControlEvent(new ControlEvent.SlotsQuiesced(quiesced.service(), quiesced.slots(), quiesced.records()));
        } else if (decision instanceof GateDecision.CustomerQuiesced) {
            GateDecision.CustomerQuiesced quiesced = (GateDecision.CustomerQuiesced) decision;
            onControlEvent(new ControlEvent.CustomerQuiesced(quiesced.customer(), quiesced.removalOffset()));
        }
    }

    /** The check and the write are separate steps, so that a pause can occur between them. */
    private void dispatch(GateDecision.Dispatch dispatch) {
        GateRequest request = requests.get(dispatch.id());
        dispatched.put(dispatch.id(), request);
        Gate current = gate;
        submit((long) (random.nextDouble() * MS), () -> {
            if (gate != current) {
                return;
            }
            if (!gate.mayDispatch(dispatch.id(), localNs())) {
                run.counters().add("dispatch denied");
                finish(dispatch.id(), new DispatchOutcome.NotRun("lease or slot was lost"));
                return;
            }
            // A server that does not check fences has no protection against a pause at this point.
            long gapNs = server.checksFence() ? (long) (random.nextDouble() * MS) : 0;
            submit(gapNs, () -> write(dispatch, request, current));
        });
    }

    private void write(GateDecision.Dispatch dispatch, GateRequest request, Gate current) {
        if (!isServerUp) {
            finish(dispatch.id(), new DispatchOutcome.NotRun("connection refused"));
            return;
        }
        run.callers().onWritten(request.id());
        run.checker().checkWritten(index);
        long remainingNs = Math.max(0, dispatch.deadlineNs() - localNs());
        server.run(
                request,
                dispatch.fence(),
                remainingNs,
                outcome -> submit(MS / 5, () -> {
                    if (gate == current) {
                        finish(dispatch.id(), outcome);
                    }
                }));
    }

    private void finish(RequestId id, DispatchOutcome actual) {
        boolean isMisreported = run.isBroken(Mutation.REPORT_NOT_RUN) && random.nextInt(50) == 0;
        DispatchOutcome outcome = isMisreported ? new DispatchOutcome.NotRun("reported wrongly") : actual;
        if (dispatched.remove(id) == null) {
            return;
        }
        requests.remove(id);
        run.callers().onFinished(id, outcome);
        onGateEvent(new GateEvent.Finished(id, outcome));
    }
}
