package org.siskintiller.node.runtime;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.control.ControlPlane;
import org.siskintiller.core.gate.Gate;
import org.siskintiller.core.gate.GateDecision;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.gate.GateStats;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.placement.BalancedPlanner;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.node.backend.BackendClient;
import org.siskintiller.node.backend.LoadPoller;
import org.siskintiller.node.backend.SlotGrants;
import org.siskintiller.node.log.AuditTrail;
import org.siskintiller.node.log.ControlAppender;
import org.siskintiller.node.log.ControlStreamReader;
import org.siskintiller.node.log.RequestsStream;
import org.siskintiller.wire.proto.Proto;

/** One incarnation: its control plane, its gate and the threads that drive them. */
final class Generation implements AutoCloseable {
    private static final long GATE_TICK_INTERVAL_MS = 10;
    private static final long LOAD_POLL_INTERVAL_MS = 500;
    private static final long LOAD_REPORT_INTERVAL_MS = 2000;
    private static final long IDLE_CHECK_INTERVAL_MS = 500;
    /** Reports are reused for this long; computing one for every response would cost more than the request. */
    private static final long LOAD_REPORT_MAX_AGE_NS = 50_000_000L;

    private final Session session;
    private final ControlDriver control;
    private final GateDriver gate;
    private final SlotGrants grants;
    private final SlotGate slots;
    private final LoadMeter loadMeter;
    private final ControlStreamReader reader;
    private final RequestsStream requests;
    private final ScheduledExecutorService timer = Threads.scheduled("generation");
    private final ExecutorService logThreads = Threads.bounded("log", 2);
    private final ExecutorService cancelThreads = Threads.bounded("cancel", 256);
    private final ControlAppender appender;
    private final LoadPoller poller;
    private final ControlActionExecutor actionExecutor;
    private volatile LoadReport lastReport;
    private boolean backendServerReady;

    Generation(
            Session session,
            LogClient log,
            BackendClient backend,
            PeerSender peers,
            GenerationListener listener,
            AuditTrail audit) {
        this.session = session;
        String service = session.backendServer().service();
        loadMeter = new LoadMeter(service, Clock.nowNs());
        grants = new SlotGrants(backend, session.incarnation(), Clock::nowNs);
        control = new ControlDriver(
                new ControlPlane(session, Ids.seed(), new BalancedPlanner()), this::execute, listener::onFailed);
        GateDecisionExecutor gateExecutor = new GateDecisionExecutor(this, peers, listener);
        gate = new GateDriver(
                new Gate(session.backendServer(), session.incarnation()), gateExecutor, backend, cancelThreads);
        slots = new SlotGate(gate, grants, () -> control.state());
        requests = new RequestsStream(log, Ids::operationId, gate::submit, service, Threads.factory("requests"));
        appender = new ControlAppender(log, audit.filter(control::submit));
        reader = new ControlStreamReader(log, control::apply);
        poller = new LoadPoller(backend, gate::submit);
        actionExecutor = new ControlActionExecutor(this, peers, listener, gateExecutor);
    }

    private void execute(ControlAction action) {
        actionExecutor.execute(action);
    }

    void start() {
        control.start();
        logThreads.execute(reader);
        logThreads.execute(appender);
        scheduleEvery(GATE_TICK_INTERVAL_MS, () -> gate.submit(new GateEvent.Tick()));
        scheduleEvery(LOAD_POLL_INTERVAL_MS, poller::poll);
        scheduleEvery(LOAD_REPORT_INTERVAL_MS, () -> control.submit(loadMeter.takeRates(Clock.nowNs())));
    }

    /** Records that the backend server can serve, so that the session may open. Further calls have no effect. */
    void backendServerReady() {
        if (!backendServerReady) {
            backendServerReady = true;
            control.submit(new ControlEvent.BackendServerChanged(true));
        }
    }

    private void scheduleEvery(long ms, Runnable task) {
        timer.scheduleWithFixedDelay(Threads.guarded(task), ms, ms, TimeUnit.MILLISECONDS);
    }

    void runAfter(long ms, Runnable task) {
        timer.schedule(Threads.guarded(task), ms, TimeUnit.MILLISECONDS);
    }

    /** Serves a request at the gate of this companion. */
    Attempt serve(GatedRequest request) throws IOException {
        loadMeter.count(request.gate().slot(), request.head().key());
        return gate.serve(request);
    }

    /** Returns a response head with the load, admitted shares and suspicions to report to other companions. */
    Proto.ResponseHead.Builder reportHead(long fingerprint) {
        Proto.ResponseHead.Builder head = loadReport().toBuilder();
        for (Suspicion suspicion : gate.suspicions(fingerprint)) {
            head.addSuspicions(RemoteCall.toProto(suspicion));
        }
        return head;
    }

    private Proto.ResponseHead loadReport() {
        LoadReport cached = lastReport;
        long nowNs = Clock.nowNs();
        if (cached != null && nowNs - cached.createdNs() < LOAD_REPORT_MAX_AGE_NS) {
            return cached.head();
        }
        GateStats stats = gate.stats();
        Proto.ResponseHead.Builder head = Proto.ResponseHead.newBuilder();
        for (GateStats.RankStats rank : stats.ranks()) {
            head.addRankShares(
                    Proto.RankShare.newBuilder().setRank(rank.rank()).setAdmittedShare(rank.admittedShare()));
        }
        head.setLoad((double) stats.inFlight() / Math.max(1, stats.limit()));
        lastReport = new LoadReport(head.build(), nowNs);
        return lastReport.head();
    }

    Incarnation incarnation() {
        return session.incarnation();
    }

    Session session() {
        return session;
    }

    ControlDriver control() {
        return control;
    }

    GateDriver gate() {
        return gate;
    }

    SlotGate slots() {
        return slots;
    }

    SlotGrants grants() {
        return grants;
    }

    RequestsStream requests() {
        return requests;
    }

    ControlAppender appender() {
        return appender;
    }

    boolean logAvailable() {
        return reader.available();
    }

    /** Revokes the grants of quiesced slots before another companion may serve them. */
    void onSlotsQuiesced(GateDecision.SlotsQuiesced quiesced) {
        List<Integer> slotNumbers = new ArrayList<>();
        for (SlotVersion slot : quiesced.slots()) {
            slotNumbers.add(slot.slot());
        }
        slots.onQuiesced(slotNumbers);
        control.submit(new ControlEvent.SlotsQuiesced(quiesced.service(), quiesced.slots(), quiesced.records()));
    }

    /** Refuses all waiting requests; requests that run at the backend server continue. */
    void retire() {
        gate.submit(new GateEvent.LeaseExtended(Long.MIN_VALUE));
        gate.submit(new GateEvent.DrainStarted());
        stopServing();
        control.close();
        closeWhenIdle();
    }

    private void stopServing() {
        reader.stop();
        logThreads.shutdownNow();
        requests.close();
        slots.close();
    }

    @Override
    public void close() {
        stopServing();
        control.close();
        timer.shutdownNow();
        cancelThreads.shutdown();
    }

    /** Keeps the timer until no request runs any more, so that deadlines of earlier requests still apply. */
    private void closeWhenIdle() {
        if (gate.inFlight() > 0) {
            runAfter(IDLE_CHECK_INTERVAL_MS, this::closeWhenIdle);
            return;
        }
        timer.shutdownNow();
        cancelThreads.shutdown();
    }

    /** Load of the gate at a point in time. */
    private record LoadReport(Proto.ResponseHead head, long createdNs) {}
}
