package org.siskintiller.node.runtime;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.siskintiller.config.CompanionSettings;
import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.control.ControlNotice;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.logclient.HttpLogClient;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.LogClientSettings;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.node.backend.Announcement;
import org.siskintiller.node.backend.BackendClient;
import org.siskintiller.node.http.CallerServer;
import org.siskintiller.node.http.RequestParser;
import org.siskintiller.node.log.AuditTrail;
import org.siskintiller.node.operator.OperatorPages;
import org.siskintiller.node.peer.PeerHandler;
import org.siskintiller.node.peer.PeerStream;
import org.siskintiller.node.peer.PeerTransport;
import org.siskintiller.wire.proto.Proto;

/** The companion process: its sockets, the current incarnation and its replacement, and the graceful stop. */
public final class CompanionRuntime implements PeerHandler, GenerationListener, AutoCloseable {
    private static final Incarnation NO_INCARNATION = new Incarnation(1);
    /** Time in which a leaving backend server may still receive new requests; must stay below the guaranteed 3 s. */
    private static final long DRAIN_AFTER_MS = 2000;

    /** Consecutive idle checks before the process ends, since a request may be in transit on an idle connection. */
    private static final int IDLE_CHECKS = 5;

    private static final long IDLE_CHECK_INTERVAL_MS = 50;

    private final CompanionSettings settings;
    private final LogClient log;
    private final PeerTransport transport = new PeerTransport(this);
    private final PeerDirectory directory;
    private final NodeMetrics metrics = new NodeMetrics();
    private final ExecutorService bodyThreads = Threads.bounded("body", 4096);
    private final ScheduledExecutorService lifecycle = Threads.scheduled("lifecycle");
    private final AuditTrail audit = new AuditTrail(Ids::operationId, lifecycle);
    private final CountDownLatch finished = new CountDownLatch(1);
    private PeerRequests peerRequests;
    private CallerServer callerServer;
    private Address peerAddress;
    private BackendClient backend;
    private volatile Generation generation;
    private final BackendReadiness readiness = new BackendReadiness();
    private volatile ClusterState previousState;
    private volatile boolean stopping;
    private volatile boolean stoppedGracefully;
    private boolean handedOver;
    private boolean drained;
    private int idleChecks;

    public CompanionRuntime(CompanionSettings settings, LogClient log) {
        this.settings = settings;
        this.log = log;
        this.directory = new PeerDirectory(settings);
    }

    /** Binds the sockets and starts serving. The session opens after the first announcement of the backend server. */
    public void start() throws IOException {
        peerRequests = new PeerRequests(
                this::generation,
                settings.limits().maxBodyBytes(),
                settings.limits().maxCallers());
        peerAddress = transport.bind(settings.peer());
        RemoteCall remote = new RemoteCall(transport, bodyThreads);
        Ingress ingress =
                new Ingress(this::generation, this::routingState, remote, directory, settings.limits(), metrics);
        callerServer = new CallerServer(
                settings.http(),
                settings.limits(),
                new RequestParser(settings.limits(), Ids::requestId),
                ingress,
                new OperatorPages(new RuntimeView(this), this::onAnnouncement, metrics.registry()));
        callerServer.start();
        metrics.register(this::generation, transport, callerServer);
        EventLog.log(LogEvent.LISTENING, "callers " + callerServer.address() + ", companions " + peerAddress);
    }

    Optional<Generation> generation() {
        return Optional.ofNullable(generation);
    }

    /**
     * Returns the state for routing. A new incarnation reads the log from its start; until it has caught up, requests
     * are routed by the state that the previous incarnation had applied.
     */
    Optional<ClusterState> routingState() {
        Generation current = generation;
        if (current == null) {
            return Optional.empty();
        }
        ClusterState state = current.control().state();
        ClusterState previous = previousState;
        if (previous != null && previous.appliedOffset() > state.appliedOffset()) {
            return Optional.of(previous);
        }
        previousState = null;
        return state.appliedOffset() < 0 ? Optional.empty() : Optional.of(state);
    }

    CompanionSettings settings() {
        return settings;
    }

    public Address callerAddress() {
        return callerServer.address();
    }

    private void onAnnouncement(Announcement announcement) {
        lifecycle.execute(() -> handleAnnouncement(announcement));
    }

    private void handleAnnouncement(Announcement announcement) {
        BackendServer server = announcement.backendServer();
        if (backend == null) {
            EventLog.log(LogEvent.BACKEND_ANNOUNCED, server.toString());
            backend = new BackendClient(server, Clock::nowNs);
            startGeneration(server);
        } else if (generation != null
                && !generation.session().backendServer().service().equals(server.service())) {
            EventLog.log(LogEvent.BACKEND_ANNOUNCEMENT_INVALID, "the service changed to " + server.service());
            return;
        }
        backend.setAddress(server.address());
        if (readiness.recordAnnouncement(Clock.nowNs())) {
            generation.backendServerReady();
        }
        if (announcement.leaving() && !stopping) {
            EventLog.log(LogEvent.BACKEND_LEAVING, server.toString());
            stop("backend server");
        }
    }

    private void startGeneration(BackendServer server) {
        Session session = new Session(
                Ids.incarnation(),
                settings.instance(),
                settings.failureDomain(),
                callerServer.address(),
                peerAddress,
                server,
                List.of(),
                0,
                -1,
                false);
        generation = new Generation(session, log, backend, this::send, this, audit);
        audit.setAppender(generation.appender());
        EventLog.log(LogEvent.STARTED, settings.instance() + " incarnation " + session.incarnation());
        generation.start();
    }

    private void send(ClusterState state, Incarnation to, PeerMessage message) {
        if (message instanceof PeerMessage.Datagram datagram) {
            directory
                    .udp(state, to)
                    .ifPresentOrElse(address -> transport.sendDatagram(address, datagram), () -> logUnknownAddress(to));
        } else {
            directory
                    .tcp(state, to)
                    .ifPresentOrElse(address -> transport.sendControl(address, message), () -> logUnknownAddress(to));
        }
    }

    private static void logUnknownAddress(Incarnation to) {
        EventLog.log(LogEvent.PEER_UNREACHABLE, to.toString());
    }

    @Override
    public Incarnation incarnation() {
        Generation current = generation;
        return current == null ? NO_INCARNATION : current.incarnation();
    }

    @Override
    public void onMessage(PeerMessage message) {
        Generation current = generation;
        if (current != null) {
            current.control().submit(new ControlEvent.MessageReceived(message));
        }
    }

    @Override
    public void onDatagram(PeerMessage.Datagram message, InetSocketAddress source) {
        directory.recordSource(message, source);
        onMessage(message);
    }

    @Override
    public void onRequest(PeerStream stream, Proto.RequestHead head) {
        peerRequests.accept(stream, head);
    }

    @Override
    public void onRetired(Generation retired, String reason) {
        lifecycle.execute(() -> {
            if (retired != generation) {
                return;
            }
            EventLog.log(LogEvent.INCARNATION_RETIRED, retired.incarnation() + ": " + reason);
            audit("incarnation", retired.incarnation().toString(), "retired", reason);
            retired.retire();
            if (stopping) {
                handedOver = true;
                callerServer.drain();
                finishIfIdle();
                return;
            }
            previousState = retired.control().state();
            startGeneration(retired.session().backendServer());
            if (readiness.isRecentlyAnnounced(Clock.nowNs())) {
                generation.backendServerReady();
            }
        });
    }

    /** Starts the graceful stop. Further calls have no effect. */
    public void stop(String requestedBy) {
        lifecycle.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            EventLog.log(LogEvent.STOP_REQUESTED, requestedBy);
            audit("graceful stop", "serving", "draining", "requested by " + requestedBy);
            if (generation == null) {
                stoppedGracefully = true;
                finished.countDown();
                return;
            }
            generation.control().submit(new ControlEvent.StopRequested(requestedBy));
            lifecycle.schedule(this::drain, DRAIN_AFTER_MS, TimeUnit.MILLISECONDS);
            lifecycle.schedule(this::stopTimedOut, settings.limits().stopTimeoutMs(), TimeUnit.MILLISECONDS);
        });
    }

    private void drain() {
        generation.gate().submit(new GateEvent.DrainStarted());
    }

    @Override
    public void onStopped(Generation stopped) {
        lifecycle.execute(() -> {
            stopping = true;
            handedOver = true;
            drain();
            callerServer.drain();
            finishIfIdle();
        });
    }

    /** An operator requested the drain of this session. */
    @Override
    public void onDraining(Generation leaving) {
        lifecycle.schedule(
                () -> leaving.gate().submit(new GateEvent.DrainStarted()), DRAIN_AFTER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void onDrained(Generation idle) {
        lifecycle.execute(() -> {
            drained = true;
            finishIfIdle();
        });
    }

    private void finishIfIdle() {
        if (!handedOver) {
            return;
        }
        boolean idle = (drained || generation.gate().inFlight() == 0) && callerServer.running() == 0;
        idleChecks = idle ? idleChecks + 1 : 0;
        if (idleChecks >= IDLE_CHECKS) {
            stoppedGracefully = true;
            finished.countDown();
        } else {
            lifecycle.schedule(this::finishIfIdle, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void stopTimedOut() {
        if (finished.getCount() > 0) {
            EventLog.log(LogEvent.STOP_TIMED_OUT, settings.limits().stopTimeoutMs() + " ms");
            stoppedGracefully = true;
            finished.countDown();
        }
    }

    @Override
    public void onNotice(ControlNotice notice, String detail) {
        metrics.recordNotice(notice.name().toLowerCase(java.util.Locale.ROOT));
        EventLog.log(LogEvent.valueOf(notice.name()), detail);
    }

    @Override
    public void onBackendChanged(boolean serving, String reason) {
        if (!serving) {
            lifecycle.execute(() -> readiness.recordLoss(Clock.nowNs()));
        }
        String now = serving ? "serving" : "not serving";
        EventLog.log(LogEvent.BACKEND_CHANGED, now + ": " + reason);
        audit("backend server", serving ? "not serving" : "serving", now, reason);
    }

    private void audit(String what, String from, String to, String outcome) {
        audit.record(new AuditEntry("companion " + settings.instance(), what, from, to, outcome));
    }

    @Override
    public void onFailed(RuntimeException cause) {
        EventLog.log(LogEvent.CONTROL_FAILED, cause.toString(), cause);
        finished.countDown();
    }

    /** Waits for the end of the process and returns whether it was a graceful stop. */
    public boolean awaitEnd() throws InterruptedException {
        finished.await();
        return stoppedGracefully;
    }

    @Override
    public void close() {
        if (callerServer != null) {
            callerServer.close();
        }
        if (generation != null) {
            generation.close();
        }
        if (peerRequests != null) {
            peerRequests.close();
        }
        transport.close();
        bodyThreads.shutdownNow();
        lifecycle.shutdownNow();
        if (backend != null) {
            backend.close();
        }
        EventLog.log(LogEvent.STOPPED, settings.instance());
    }

    /** Creates the client of the log service that the settings name. */
    public static LogClient logClient(CompanionSettings settings) {
        return new HttpLogClient(LogClientSettings.defaults(settings.log()));
    }
}
