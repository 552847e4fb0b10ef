package org.siskintiller.router;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.siskintiller.core.coldstart.ColdStartLimit;
import org.siskintiller.core.evacuation.DomainEvacuation;
import org.siskintiller.core.keyrange.KeyRates;
import org.siskintiller.core.lease.KeyHolder;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.path.BackendPresence;
import org.siskintiller.core.path.CallerLimits;
import org.siskintiller.core.path.RouteTable;
import org.siskintiller.core.path.ServiceSpec;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.node.operator.PrometheusText;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.backend.BackendPool;
import org.siskintiller.router.backend.BackendState;
import org.siskintiller.router.backend.CrashDetector;
import org.siskintiller.router.backend.HeartbeatCodec;
import org.siskintiller.router.backend.HeartbeatHandler;
import org.siskintiller.router.backend.HeldKeys;
import org.siskintiller.router.backend.KeyOrderCodec;
import org.siskintiller.router.control.ConfigDecoder;
import org.siskintiller.router.control.ConfigFeed;
import org.siskintiller.router.control.ControlDriver;
import org.siskintiller.router.control.ControlSettings;
import org.siskintiller.router.control.ControlState;
import org.siskintiller.router.control.Evacuations;
import org.siskintiller.router.control.GrantDelivery;
import org.siskintiller.router.control.HeartbeatDelivery;
import org.siskintiller.router.control.LocalBackend;
import org.siskintiller.router.control.Member;
import org.siskintiller.router.control.OrderDelivery;
import org.siskintiller.router.control.PeerDirectory;
import org.siskintiller.router.control.StoreSupply;
import org.siskintiller.router.ingress.BufferMemory;
import org.siskintiller.router.ingress.CallerHandler;
import org.siskintiller.router.ingress.CallerRequest;
import org.siskintiller.router.ingress.CallerResponse;
import org.siskintiller.router.ingress.CallerServer;
import org.siskintiller.router.peer.FleetIntervals;
import org.siskintiller.router.peer.LinkPacer;
import org.siskintiller.router.peer.PeerServer;
import org.siskintiller.router.peer.PeerTraffic;
import org.siskintiller.router.request.Header;
import org.siskintiller.router.request.HeaderNames;
import org.siskintiller.router.request.RequestRouter;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoreFeeds;

/** Companion process of the router: creates its parts, starts them and stops them gracefully. */
public final class Companion {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    /** Time in which callers detect that the process is not ready: two failed checks, one a second. */
    private static final long READINESS_NOTICE_MS = 2_300;
    /** Requests that are still open are answered this long before the process is killed. */
    private static final long KILL_MARGIN_MS = 500;
    /**
     * A graceful stop ends this long before the process is killed: time for one more check and for the last lines of the log. What has
     * not been delivered by then is lost.
     */
    private static final long EXIT_MARGIN_MS = 350;

    /** Requests that arrive during a stop end this long before it: time for the responses of the backend servers. */
    private static final long LAST_RESPONSES_MS = 400;

    private static final long STOP_CHECK_INTERVAL_MS = 50;
    private static final CallerLimits LOCAL_LIMITS = new CallerLimits(16_384, 1 << 20, 60_000);

    private final CompanionSettings settings;
    private final EventLoop loop;
    private final LoopLag lag;
    private final MetricRegistry metrics = new MetricRegistry();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final ColdStartLimit cold;
    private final BackendGate gate;
    private final ControlDriver control;
    private final ConfigFeed config;
    private final RequestRouter router;
    private final PeerServer peerServer;
    private final CallerServer callerServer;
    private final CallerServer readinessServer;
    private final CallerServer heartbeatServer;
    private final CallerServer metricsServer;
    private boolean stopping;
    private boolean stopTimedOut;

    public Companion(
            CompanionSettings settings,
            EventLoop loop,
            RecordStore store,
            HeaderNames names,
            ConfigDecoder configDecoder,
            HeartbeatCodec heartbeatCodec,
            KeyOrderCodec orderCodec) {
        this.settings = settings;
        this.loop = loop;
        this.lag = new LoopLag(loop, metrics);
        long nowNs = System.nanoTime();
        Member self =
                new Member(settings.instance(), settings.companions(), settings.failureDomain(), settings.service());
        ControlSettings controlSettings = new ControlSettings(self, new Incarnation(new SecureRandom().nextLong()));
        HeldKeys keys = new HeldKeys(new KeyHolder(settings.holdMaxMs(), nowNs), new KeyRates());
        BackendPresence presence = new BackendPresence(settings.drainMs());
        CrashDetector crashes = new CrashDetector();
        ControlState state = new ControlState();
        BackendPool pool = new BackendPool(settings.backend(), loop, names, metrics);
        this.cold = new ColdStartLimit(settings.coldBounds(), nowNs);
        DomainEvacuation evacuation = new DomainEvacuation(settings.evacuateMs());
        this.gate =
                new BackendGate(loop, lag, pool, new BackendState(presence, evacuation, cold), keys, crashes, metrics);
        FleetIntervals intervals = new FleetIntervals();
        LinkPacer pacer = new LinkPacer(loop, settings.linkBytesPerSecond());
        metrics.gauge("link.request_bytes_waiting", () -> pacer::waitingRequestBytes);
        BufferMemory memory = new BufferMemory(loop, metrics);
        PeerTraffic traffic = new PeerTraffic(loop, metrics);
        PeerDirectory peers = new PeerDirectory(controlSettings, pacer, traffic, state, gate, intervals, metrics);
        this.router = new RequestRouter(loop, lag, names, settings.router(), peers, gate::runs, metrics);
        StoreSupply supply = new StoreSupply(self, state, peers, metrics);
        StoreFeeds feeds = new StoreFeeds(store, loop);
        Evacuations evacuations =
                new Evacuations(settings.evacuateMs() > 0, settings.failureDomain(), state, gate, supply, metrics);
        this.config = new ConfigFeed(feeds, supply, evacuations, peers, configDecoder, router, metrics);
        config.onApply(this::configureColdLimit);
        router.setConfigDelay(config::behindMs);
        this.control = new ControlDriver(
                controlSettings,
                feeds,
                loop,
                state,
                peers,
                supply,
                new LocalBackend(gate, presence, crashes, keys, delivery(keys.holder(), orderCodec)));
        peers.listen(control);
        this.peerServer =
                new PeerServer(controlSettings.identity(), lag, gate, control, pacer, traffic, memory.requests());
        this.callerServer = new CallerServer(loop, lag, router, this::callerLimits, memory);
        this.readinessServer = new CallerServer(loop, lag, this::ready, () -> LOCAL_LIMITS);
        CallerHandler heartbeatHandler = new HeartbeatHandler(heartbeatCodec, gate, control);
        this.heartbeatServer = new CallerServer(loop, lag, heartbeatHandler, () -> LOCAL_LIMITS);
        this.metricsServer = new CallerServer(loop, lag, this::metricsPage, () -> LOCAL_LIMITS);
    }

    private GrantDelivery delivery(KeyHolder holder, KeyOrderCodec codec) {
        return settings.grantsByOrder()
                ? new OrderDelivery(settings.backend(), loop, gate, holder, codec, metrics)
                : new HeartbeatDelivery(loop, gate, holder);
    }

    /** Binds all addresses and starts to follow the store. Not called on the event loop. */
    public void start() throws IOException {
        callerServer.bind(settings.callers());
        readinessServer.bind(settings.readiness());
        heartbeatServer.bind(settings.heartbeats());
        // The control part must have started when the first companion connects.
        loop.execute(() -> control.start(router, config, peerServer::publishStatus));
        peerServer.bind(settings.companions());
        metricsServer.bind(settings.metrics());
        lag.start();
        EventLog.log(
                LogEvent.STARTED,
                "instance",
                settings.instance(),
                "service",
                settings.service(),
                "failure_domain",
                settings.failureDomain(),
                "callers",
                settings.callers());
    }

    /** Stops gracefully: lets callers move on, completes the open requests, then unblocks {@link #awaitStop}. */
    public void stop() {
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            long startNs = System.nanoTime();
            EventLog.log(LogEvent.STOP_REQUESTED, "open", router.openRequests(), "in_flight", gate.inFlight());
            long lastDeadlineMs = settings.graceMs() - KILL_MARGIN_MS - LAST_RESPONSES_MS;
            long lastDeadlineNs = startNs + TimeUnit.MILLISECONDS.toNanos(lastDeadlineMs);
            router.endRequestsBy(lastDeadlineNs);
            gate.endRequestsBy(lastDeadlineNs);
            control.stop();
            callerServer.stop();
            loop.schedule(() -> refuseNewRequests(startNs), READINESS_NOTICE_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** Returns the version of the applied configuration, 0 while there is none. */
    public long configVersion() {
        return config.version();
    }

    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    /** Logs a reload of the settings file. Addresses and limits stay until the process restarts. */
    public void reloaded(String outcome) {
        EventLog.log(LogEvent.SETTINGS_RELOADED, "outcome", outcome);
    }

    /** Refuses new requests, except the calls that backend servers make for running requests. */
    private void refuseNewRequests(long startNs) {
        router.stop();
        gate.stop();
        callerServer.close();
        finishStop(startNs);
    }

    /** Ends the process when all requests have their responses and the other ends of the connections have read them. */
    private void finishStop(long startNs) {
        long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
        if (elapsedMs >= settings.graceMs() - KILL_MARGIN_MS) {
            endOpenRequests();
        }
        callerServer.closeIdle();
        boolean completed = router.openRequests() == 0 && gate.inFlight() == 0 && peerServer.waitingWrites() == 0;
        if (completed) {
            peerServer.closeConnections();
        }
        boolean delivered = completed && !callerServer.isDelivering() && !peerServer.isDelivering();
        if (!delivered && elapsedMs < settings.graceMs() - EXIT_MARGIN_MS) {
            loop.schedule(() -> finishStop(startNs), STOP_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        EventLog.log(
                LogEvent.STOPPED,
                "after_ms",
                elapsedMs,
                "delivered",
                delivered,
                "caller_connections",
                callerServer.openConnections(),
                "caller_bytes",
                callerServer.unwrittenBytes(),
                "companion_bytes",
                peerServer.unwrittenBytes());
        stopped.countDown();
    }

    private void endOpenRequests() {
        if (stopTimedOut || router.openRequests() == 0 && gate.inFlight() == 0) {
            return;
        }
        stopTimedOut = true;
        EventLog.log(LogEvent.STOP_TIMED_OUT, "open", router.openRequests(), "in_flight", gate.inFlight());
        router.endOpenRequests();
    }

    private void configureColdLimit(RouteTable routes) {
        boolean wasUnknown = cold.unknown();
        cold.configure(
                routes.service(settings.service()).map(ServiceSpec::coldPerS).orElse(0.0));
        if (wasUnknown) {
            // The backend server was unavailable until now. The next regular status may be seconds away.
            peerServer.publishStatus();
        }
    }

    private CallerLimits callerLimits() {
        return config.routes() == null ? CallerLimits.INITIAL : config.routes().limits();
    }

    private Runnable ready(CallerRequest request, CallerResponse response) {
        boolean ready = !stopping && config.routes() != null && control.ready();
        response.send(ready ? OK : UNAVAILABLE, List.of(), new byte[0]);
        return () -> {};
    }

    private Runnable metricsPage(CallerRequest request, CallerResponse response) {
        byte[] page = PrometheusText.render(metrics).getBytes(StandardCharsets.UTF_8);
        response.send(OK, List.of(new Header("Content-Type", "text/plain; version=0.0.4")), page);
        return () -> {};
    }
}
