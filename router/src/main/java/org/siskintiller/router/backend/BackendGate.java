package org.siskintiller.router.backend;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.siskintiller.core.admission.Admission;
import org.siskintiller.core.admission.AdmissionResult;
import org.siskintiller.core.admission.ConcurrencyLimit;
import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.coldstart.ColdStartLimit;
import org.siskintiller.core.evacuation.DomainEvacuation;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.core.path.BackendPresence;
import org.siskintiller.core.path.BackendPresence.Announcement;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.request.Destination;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.RefusalReason;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.request.SentRequest;

/**
 * Sends all requests to the backend server of this machine. Queues them, refuses those that cannot be served in time,
 * and stops sending when the backend server leaves or does not hold the key.
 */
public final class BackendGate implements Destination {
    /** Interval at which queued requests are checked for their deadline. */
    private static final long SWEEP_INTERVAL_MS = 20;
    /** Time for which no connection is attempted to a backend server that refused one. */
    private static final long RECONNECT_DELAY_NS = 250_000_000L;
    /** At the deadline the backend server itself sends a response, which may take this long to arrive. */
    private static final long RESPONSE_MARGIN_NS = 150_000_000L;
    /**
     * Time after the deadline for which a response that has begun may continue; its caller cancels it sooner. A stop ends 0.55 s
     * after the last deadline.
     */
    private static final long TRANSFER_MARGIN_NS = 450_000_000L;

    private static final int FIRST_SERVER_ERROR = 500;

    private final EventLoop loop;
    private final LoopLag lag;
    private final BackendPool pool;
    private final BackendPresence presence;
    private final HeldKeys keys;
    private final GrantWaiters grantWaiters;
    private final CrashDetector crashes;
    private final DomainEvacuation evacuation;
    private final ColdStartLimit cold;
    private final ColdGate coldGate;
    private final SendCheck check;
    private final ConcurrencyLimit limit = new ConcurrencyLimit(1);
    private final Admission<GateCall> admission = new Admission<>(limit);
    private final Set<GateCall> queuedCalls = new LinkedHashSet<>();
    private final Set<GateCall> runningCalls = new LinkedHashSet<>();
    private final Set<String> runningIds = new HashSet<>();
    private final ServiceTimes times;
    private final Counter refusals;
    private Runnable stateListener = () -> {};
    private long sequence;
    private boolean sweepScheduled;
    private boolean dispatchScheduled;
    private long latestDeadlineNs = Long.MAX_VALUE;

    public BackendGate(
            EventLoop loop,
            LoopLag lag,
            BackendPool pool,
            BackendState state,
            HeldKeys keys,
            CrashDetector crashes,
            MetricRegistry metrics) {
        this.loop = loop;
        this.lag = lag;
        this.pool = pool;
        this.presence = state.presence();
        this.keys = keys;
        this.grantWaiters = new GrantWaiters(keys.holder());
        this.crashes = crashes;
        this.evacuation = state.evacuation();
        this.cold = state.cold();
        this.coldGate = new ColdGate(loop, cold, this::dispatchQueued, metrics);
        this.check = new SendCheck(state, crashes, keys.holder());
        this.times = new ServiceTimes(metrics);
        this.refusals = metrics.counter("gate.refusals");
        admission.configure(GateSettings.ranks());
        metrics.gauge("gate.queued", () -> this::queuedCount);
        metrics.gauge("gate.running", () -> runningCalls::size);
    }

    /** Registers what to run when the backend server becomes available or unavailable. */
    public void onStateChange(Runnable action) {
        stateListener = Objects.requireNonNull(action, "action");
    }

    /** Processes a heartbeat. Returns false when it is not newer than the last one. */
    public boolean processAnnouncement(Announcement announcement, long nowNs) {
        boolean newRun = !presence.known() || presence.current().run() != announcement.run();
        boolean wasLeaving = presence.leaving();
        if (!presence.announced(announcement, nowNs)) {
            return false;
        }
        if (newRun) {
            GateLog.announced(announcement);
            limit.announce(announcement.slots());
            crashes.runStarted(nowNs);
            pool.closeIdle();
            check.unreachableUntil(Long.MIN_VALUE);
        }
        if (presence.leaving() && !wasLeaving) {
            startLeaving();
        }
        boolean coldChanged = coldGate.announced(announcement);
        if (newRun || coldChanged) {
            stateListener.run();
        }
        dispatchQueued();
        return true;
    }

    /** Processes the message that the backend server is leaving. */
    public void processLeave(HeartbeatCodec.Leave leave, long nowNs) {
        applyLeave(() -> presence.left(leave.id(), leave.run(), nowNs, System.currentTimeMillis()));
    }

    /** Applies leaves that an earlier process of this companion acknowledged. */
    public void processEarlierLeaves(BackendLeaves leaves) {
        applyLeave(() -> presence.leftEarlier(leaves, System.nanoTime()));
    }

    private void applyLeave(Runnable leave) {
        boolean wasLeaving = presence.leaving();
        leave.run();
        if (presence.leaving() && !wasLeaving) {
            startLeaving();
        }
    }

    /**
     * Opens the gate, which is closed at first: what earlier processes found out about the backend server is known now.
     */
    public void open() {
        if (check.open()) {
            stateListener.run();
        }
    }

    /** Applies the evacuation of the failure domain. Queued requests that it refuses can be sent to another domain. */
    public void setEvacuated(boolean isEvacuated, long sinceNs) {
        if (evacuation.update(isEvacuated, sinceNs)) {
            if (!isEvacuated) {
                coldGate.evacuationEnded();
            }
            checkQueued();
            stateListener.run();
        }
    }

    /** Sends the requests that waited for a key that has been granted. */
    public void keysChanged() {
        dispatchQueued();
    }

    public boolean isAvailable(long nowNs) {
        return check.isAvailable(nowNs);
    }

    /** Whether all new requests for the service are refused at present, so that their bodies need not be read. */
    public boolean refusesAll(String service, long nowNs) {
        return check.refusesAll(service, nowNs);
    }

    public BackendLoad load() {
        int slots = presence.known() ? presence.current().slots() : 1;
        int meanUs = (int) (times.meanNs() / 1_000);
        return cold.limit(new BackendLoad(
                runningCalls.size(), queuedCount(), slots, meanUs, times.workPercent(System.nanoTime())));
    }

    /** Time in ms for which the backend server stays cold, 0 if it is not. */
    public long coldMs() {
        return cold.cold() ? Math.max(1, presence.current().coldMs()) : 0;
    }

    /** Refuses new requests and completes those that were accepted. */
    public void stop() {
        check.stop();
    }

    /** Lets the backend server end the requests that arrive from now on before the process stops. */
    public void endRequestsBy(long stopNs) {
        latestDeadlineNs = stopNs;
    }

    /** Whether the backend server is running the request with the given id. */
    public boolean runs(String requestId) {
        return runningIds.contains(requestId);
    }

    public int inFlight() {
        return runningCalls.size() + queuedCount();
    }

    private int queuedCount() {
        return queuedCalls.size() + grantWaiters.size();
    }

    @Override
    public SentRequest send(ForwardedRequest newRequest, ResponseListener listener) {
        ForwardedRequest request = newRequest.endingBy(latestDeadlineNs);
        long nowNs = System.nanoTime();
        GateCall call = new GateCall(this, request, listener, QueuePlace.of(request, nowNs), sequence++, nowNs);
        RefusalReason reason = check.reason(request, false, nowNs);
        boolean isAssigned =
                reason != RefusalReason.OTHER_SERVICE && keys.holder().isAssigned(request.key());
        if (isAssigned) {
            keys.rates().count(request.key());
        }
        boolean grantExpected = isAssigned && reason == RefusalReason.NOT_HOLDER && presence.isAvailable(nowNs);
        if (grantExpected) {
            grantWaiters.add(call);
            scheduleSweep();
            return call;
        }
        if (reason != null) {
            refuse(call, reason, GateSettings.DEFAULT_RETRY_AFTER_MS);
            return call;
        }
        admit(call, nowNs);
        dispatchQueued();
        return call;
    }

    void cancelled(GateCall call) {
        if (call.state() == GateCall.State.ENDED) {
            return;
        }
        GateLog.cancelled(call, lag.lagMs());
        switch (call.state()) {
            case AWAITING_GRANT -> grantWaiters.remove(call);
            case QUEUED -> dequeue(call);
            case CONNECTING -> {}
            case RUNNING -> {
                // A request that must not run twice continues; its response is discarded.
                if (call.request().kind() == RequestKind.NON_IDEMPOTENT) {
                    return;
                }
                finish(call, -1);
                call.abortConnection();
            }
            default -> {
                return;
            }
        }
        call.markEnded();
        dispatchQueued();
    }

    void responseCompleted(GateCall call) {
        long nowNs = System.nanoTime();
        long serviceTimeNs = nowNs - call.dispatchedNs();
        boolean success = call.status() < FIRST_SERVER_ERROR;
        times.served(call, serviceTimeNs, success, nowNs);
        crashes.responseReceived(call.request().fingerprint(), nowNs);
        finish(call, success ? serviceTimeNs : -1);
        call.markEnded();
        loop.execute(this::dispatchQueued);
    }

    void rejected(GateCall call, int status) {
        finish(call, -1);
        GateLog.rejected(call, status, runningCalls.size());
        call.refuse(call.rejection(status));
        dispatchQueued();
    }

    void connectionFailed(GateCall call, String detail) {
        long nowNs = System.nanoTime();
        finish(call, -1);
        crashes.connectionLost(call.request().fingerprint(), presence.current().run(), nowNs);
        GateLog.failed(call, detail, presence.current().id());
        call.fail(new SendFailure(detail, false));
        dispatchQueued();
    }

    void loadReported(int runningAtBackend, int slots, int workPercent) {
        long nowNs = System.nanoTime();
        limit.loadReported(runningAtBackend, slots, runningCalls.size(), nowNs);
        times.workReported(workPercent, nowNs);
    }

    /** Queues the call in its rank, or in the late rank when its objective cannot be met, or refuses it. */
    private void admit(GateCall call, long nowNs) {
        AdmissionResult<GateCall> result = coldGate.refusal(call, admission, times.meanNs(), nowNs)
                .orElseGet(() -> admission.reserve(call, nowNs));
        if (result instanceof AdmissionResult.Admitted<GateCall> admitted) {
            evict(admitted.evicted());
            admission.enqueue(call, nowNs);
            call.markQueued();
            queuedCalls.add(call);
            scheduleSweep();
            return;
        }
        if (call.rank().equals(GateSettings.LATE) || call.rank().equals(GateSettings.INTERNAL)) {
            refuse(call, RefusalReason.OVERLOADED, GateSettings.retryAfterMs(result));
            return;
        }
        admit(withLatePlace(call, nowNs), nowNs);
    }

    private GateCall withLatePlace(GateCall call, long nowNs) {
        return call.moveTo(QueuePlace.late(call.request(), nowNs), sequence++);
    }

    private void evict(GateCall evicted) {
        if (evicted != null) {
            queuedCalls.remove(evicted);
            refuse(evicted, RefusalReason.OVERLOADED, GateSettings.DEFAULT_RETRY_AFTER_MS);
        }
    }

    private void refuse(GateCall call, RefusalReason reason, long retryAfterMs) {
        refusals.inc();
        GateLog.refused(call, reason, queuedCount(), runningCalls.size(), times.meanNs());
        call.refuse(new Refusal(reason, retryAfterMs, false));
    }

    /** Sends queued requests while slots are free. After a stall, cancellations that are still unread go first. */
    private void dispatchQueued() {
        if (!lag.hasBacklog()) {
            dispatchNow();
        } else if (!dispatchScheduled) {
            dispatchScheduled = true;
            lag.runAfterPendingReads(() -> {
                dispatchScheduled = false;
                dispatchNow();
            });
        }
    }

    private void dispatchNow() {
        long nowNs = System.nanoTime();
        grantWaiters.removeGranted(nowNs).forEach(call -> admit(call, nowNs));
        while (true) {
            GateCall call = admission.queued() > 0 && coldGate.mayDispatch(nowNs) ? admission.next(nowNs) : null;
            if (call == null) {
                return;
            }
            queuedCalls.remove(call);
            RefusalReason reason = check.reason(call.request(), true, nowNs);
            if (reason == null && !times.suffice(call, admission.queued() > 0, nowNs)) {
                reason = RefusalReason.EXPIRED;
            }
            if (reason != null) {
                admission.refused(call, nowNs);
                refuse(call, reason, GateSettings.DEFAULT_RETRY_AFTER_MS);
                continue;
            }
            dispatch(call, nowNs);
        }
    }

    private void dispatch(GateCall call, long nowNs) {
        times.waited(nowNs - call.arrivedNs());
        call.markConnecting(presence.current().id());
        runningCalls.add(call);
        runningIds.add(call.request().requestId());
        cold.dispatched(nowNs);
        pool.acquire(call.request().requestId(), connection -> {
            if (connection == null) {
                connectFailed(call);
                return;
            }
            sendOn(connection, call);
        });
    }

    private void sendOn(BackendConnection connection, GateCall call) {
        if (call.state() == GateCall.State.ENDED) {
            finish(call, -1);
            pool.release(connection);
            dispatchQueued();
            return;
        }
        long nowNs = System.nanoTime();
        long coldDelayNs = cold.nextSendNs(nowNs) - nowNs;
        if (coldDelayNs > 0) {
            loop.schedule(() -> sendOn(connection, call), coldDelayNs, TimeUnit.NANOSECONDS);
            return;
        }
        // The state may have changed while the connection was established.
        RefusalReason reason = check.reason(call.request(), true, nowNs);
        if (reason != null) {
            finish(call, -1);
            pool.release(connection);
            refuse(call, reason, GateSettings.DEFAULT_RETRY_AFTER_MS);
            dispatchQueued();
            return;
        }
        EventLog.log(LogEvent.DISPATCHED, "request", call.request().requestId(), "backend", call.expectedInstance());
        call.markRunning(connection, nowNs);
        connection.send(call, nowNs);
        cold.sent(nowNs);
        long remainingNs = call.request().deadlineNs() - nowNs;
        loop.schedule(() -> responseDue(call), remainingNs + RESPONSE_MARGIN_NS, TimeUnit.NANOSECONDS);
    }

    private void responseDue(GateCall call) {
        if (call.state() == GateCall.State.RUNNING && call.hasStarted()) {
            loop.schedule(() -> timedOut(call), TRANSFER_MARGIN_NS - RESPONSE_MARGIN_NS, TimeUnit.NANOSECONDS);
            return;
        }
        timedOut(call);
    }

    private void timedOut(GateCall call) {
        if (call.state() != GateCall.State.RUNNING) {
            return;
        }
        finish(call, -1);
        call.abortConnection();
        GateLog.failed(call, "deadline passed", presence.current().id());
        call.fail(new SendFailure("the backend server did not respond before the deadline", true));
        dispatchQueued();
    }

    private void connectFailed(GateCall call) {
        long nowNs = System.nanoTime();
        finish(call, -1);
        check.unreachableUntil(nowNs + RECONNECT_DELAY_NS);
        crashes.connectionRefused(nowNs);
        EventLog.log(LogEvent.BACKEND_CHANGED, "backend", presence.current().id(), "state", "no connection");
        if (call.state() != GateCall.State.ENDED) {
            refuse(call, RefusalReason.NO_BACKEND, GateSettings.DEFAULT_RETRY_AFTER_MS);
        }
        stateListener.run();
        loop.schedule(() -> stateListener.run(), RECONNECT_DELAY_NS, TimeUnit.NANOSECONDS);
        dispatchQueued();
    }

    private void finish(GateCall call, long serviceNs) {
        if (runningCalls.remove(call)) {
            runningIds.remove(call.request().requestId());
            admission.finished(call, serviceNs);
        }
    }

    private void dequeue(GateCall call) {
        queuedCalls.remove(call);
        admission.remove(call, System.nanoTime());
    }

    private void startLeaving() {
        EventLog.log(LogEvent.BACKEND_LEAVING, "backend", presence.current().id(), "queued", queuedCount());
        stateListener.run();
    }

    private void scheduleSweep() {
        if (!sweepScheduled) {
            sweepScheduled = true;
            loop.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Refuses queued requests that can no longer be served in time. */
    private void sweep() {
        sweepScheduled = false;
        checkQueued();
        if (queuedCount() > 0) {
            scheduleSweep();
        }
    }

    private void checkQueued() {
        long nowNs = System.nanoTime();
        for (GateCall call : grantWaiters.removeUnservable(nowNs, times.minGrantedNs())) {
            refuse(call, RefusalReason.NOT_HOLDER, GateSettings.DEFAULT_RETRY_AFTER_MS);
        }
        for (GateCall call : List.copyOf(queuedCalls)) {
            // A refusal may have freed capacity, so that a later call of the list has been sent meanwhile.
            if (queuedCalls.contains(call)) {
                checkQueued(call, nowNs);
            }
        }
        dispatchQueued();
    }

    private void checkQueued(GateCall call, long nowNs) {
        RefusalReason reason = times.allowWait(call, queuedCalls.size() > 1, nowNs)
                ? check.reasonToEndWait(call.request(), nowNs)
                : RefusalReason.EXPIRED;
        if (reason != null) {
            dequeue(call);
            refuse(call, reason, GateSettings.DEFAULT_RETRY_AFTER_MS);
            return;
        }
        if (nowNs <= call.deadlineNs()) {
            return;
        }
        dequeue(call);
        if (call.rank().equals(GateSettings.LATE)) {
            refuse(call, RefusalReason.OVERLOADED, GateSettings.DEFAULT_RETRY_AFTER_MS);
        } else {
            admit(withLatePlace(call, nowNs), nowNs);
        }
    }
}
