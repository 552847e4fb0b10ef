package org.siskintiller.router.request;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import org.siskintiller.core.path.Route;
import org.siskintiller.core.path.RouteTable;
import org.siskintiller.core.path.ServiceSpec;
import org.siskintiller.core.path.WeightedSplit;
import org.siskintiller.core.retry.SharedRetryBudget;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.ingress.CallerHandler;
import org.siskintiller.router.ingress.CallerRequest;
import org.siskintiller.router.ingress.CallerResponse;

/** Accepts the requests of callers on this machine and routes each of them to a backend server. */
public final class RequestRouter implements CallerHandler {
    /** Interval at which parked requests are retried. A change of key holders or connections retries them at once. */
    private static final long PARKED_RETRY_INTERVAL_MS = 25;

    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final String NOT_READY_RETRY_AFTER_S = "0.5";
    /** Time for the caller to connect to another machine, or for the next process on this machine to start. */
    private static final String STOPPING_RETRY_AFTER_S = "0.3";

    /** A request that has less time until the end of the process is refused. */
    private static final long MIN_TIME_BEFORE_STOP_NS = 100_000_000L;
    /** Time for the response with which the backend server ends a request at the end of the process. */
    private static final long LAST_RESPONSE_NS = 200_000_000L;

    private static final int MAX_KEY = 65_535;
    /** Keeps times in ns within the range of the clock. Routes have shorter timeouts. */
    private static final long MAX_DEADLINE_MS = TimeUnit.DAYS.toMillis(1);

    private final EventLoop loop;
    private final LoopLag lag;
    private final HeaderNames names;
    private final RouterSettings settings;
    private final Backends backends;
    private final Predicate<String> runsLocally;
    private LongSupplier configDelayMs = () -> 0;
    private final Set<String> replacedHeaders;
    private final WeightedSplit serviceSplit = new WeightedSplit();
    private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, Long> longestDeadlinesMs = new HashMap<>();
    private final ResponseBuffers responseBuffers = new ResponseBuffers();
    private final Set<RequestTask> parkedTasks = new LinkedHashSet<>();
    private final Set<RequestTask> openTasks = new LinkedHashSet<>();
    private final Timer responseTimer;
    private final Counter completed;
    private final Counter failed;
    private final Counter repeats;
    private RouteTable routes;
    private int companionCount = 1;
    private boolean parkedRetryScheduled;
    private boolean stopping;
    /** Time by which every request must have its response, because the process ends soon after. */
    private long stopNs = Long.MAX_VALUE;

    /**
     * Creates the router.
     *
     * @param runsLocally whether the backend server of this machine runs the request with the given id
     */
    public RequestRouter(
            EventLoop loop,
            LoopLag lag,
            HeaderNames names,
            RouterSettings settings,
            Backends backends,
            Predicate<String> runsLocally,
            MetricRegistry metrics) {
        this.loop = loop;
        this.lag = lag;
        this.names = names;
        this.settings = settings;
        this.backends = backends;
        this.runsLocally = runsLocally;
        this.replacedHeaders = Set.of(
                names.deadlineMs().toLowerCase(Locale.ROOT),
                names.expectedInstance().toLowerCase(Locale.ROOT),
                names.callerService().toLowerCase(Locale.ROOT),
                names.notExecuted().toLowerCase(Locale.ROOT));
        this.responseTimer = metrics.timer("ingress.response");
        this.completed = metrics.counter("ingress.completed");
        this.failed = metrics.counter("ingress.failed");
        this.repeats = metrics.counter("ingress.repeats");
        metrics.gauge("ingress.open", () -> openTasks::size);
        metrics.gauge("ingress.parked", () -> parkedTasks::size);
    }

    /** Sets the source of the time in ms since a newer configuration has been known to exist; 0 if none is. */
    public void setConfigDelay(LongSupplier delayMs) {
        configDelayMs = delayMs;
    }

    /** Applies a configuration. Requests that arrived earlier keep their route. */
    public void apply(RouteTable next) {
        routes = next;
    }

    public void setCompanions(int count) {
        companionCount = count;
        retryBudgets.values().forEach(retryBudget -> retryBudget.setCompanions(count));
    }

    /** Retries parked requests after a change of key holders or connections. */
    public void backendsChanged() {
        lag.runAfterPendingReads(this::attemptParked);
    }

    private void attemptParked() {
        for (RequestTask task : List.copyOf(parkedTasks)) {
            parkedTasks.remove(task);
            task.attempt();
        }
    }

    /** Refuses new requests, except the calls that backend servers make for running requests. */
    public void stop() {
        stopping = true;
    }

    /**
     * Lets the backend servers end all requests that arrive from now on before the process stops. A request that is
     * still running then would lose its response.
     */
    public void endRequestsBy(long newStopNs) {
        stopNs = newStopNs;
    }

    /** Responds to all open requests, because the process ends. */
    public void endOpenRequests() {
        List.copyOf(openTasks).forEach(RequestTask::processEnds);
    }

    public int openRequests() {
        return openTasks.size();
    }

    @Override
    public Runnable handle(CallerRequest request, CallerResponse response) {
        String id = request.headers().get(names.requestId());
        if (id == null || id.isEmpty()) {
            return respondWithError(response, request, BAD_REQUEST, "the request has no id", List.of());
        }
        if (routes == null) {
            return respondWithError(
                    response,
                    request,
                    UNAVAILABLE,
                    "no configuration has been received yet",
                    List.of(new Header("Retry-After", NOT_READY_RETRY_AFTER_S)));
        }
        boolean hasTime = stopNs == Long.MAX_VALUE || stopNs - System.nanoTime() > MIN_TIME_BEFORE_STOP_NS;
        if (!hasTime || stopping && !isInternal(id)) {
            return respondWithError(
                    response,
                    request,
                    UNAVAILABLE,
                    "the process is stopping",
                    List.of(new Header("Retry-After", STOPPING_RETRY_AFTER_S)));
        }
        String host = Optional.ofNullable(request.headers().get("host")).orElse("");
        Optional<Route> route = routes.find(host, path(request.uri()));
        if (route.isEmpty()) {
            return respondWithoutRoute(request, response, host);
        }
        RequestTask task = newTask(id, request, route.get(), response);
        openTasks.add(task);
        task.attempt();
        return task::callerDisconnected;
    }

    /** A route that is missing here may have been added by a newer configuration, which will arrive within a second. */
    private Runnable respondWithoutRoute(CallerRequest request, CallerResponse response, String host) {
        String detail = "no route of host " + host + " matches the path";
        long behindMs = configDelayMs.getAsLong();
        if (behindMs == 0) {
            return respondWithError(response, request, NOT_FOUND, detail, List.of());
        }
        return respondWithError(
                response,
                request,
                UNAVAILABLE,
                detail + ", a newer configuration has been known for " + behindMs + " ms",
                List.of(new Header("Retry-After", NOT_READY_RETRY_AFTER_S)));
    }

    SharedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(service, name -> {
            SharedRetryBudget retryBudget =
                    new SharedRetryBudget(settings.retryRatio(), settings.retrySlack(), settings.retryWindowMs());
            retryBudget.setCompanions(companionCount);
            return retryBudget;
        });
    }

    /** Counts a request that is sent to the backend server that rejected it. */
    void countRepeat() {
        repeats.inc();
    }

    ResponseBuffers responseBuffers() {
        return responseBuffers;
    }

    Backends backends() {
        return backends;
    }

    long lagMs() {
        return lag.lagMs();
    }

    EventLoop loop() {
        return loop;
    }

    long routesVersion() {
        return routes.version();
    }

    void park(RequestTask task) {
        parkedTasks.add(task);
        if (!parkedRetryScheduled) {
            parkedRetryScheduled = true;
            loop.schedule(this::retryParked, PARKED_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    void taskEnded(RequestTask task, boolean success, long elapsedNs) {
        openTasks.remove(task);
        parkedTasks.remove(task);
        responseTimer.update(elapsedNs, TimeUnit.NANOSECONDS);
        (success ? completed : failed).inc();
    }

    private void retryParked() {
        parkedRetryScheduled = false;
        backendsChanged();
        if (!parkedTasks.isEmpty() && !parkedRetryScheduled) {
            parkedRetryScheduled = true;
            loop.schedule(this::retryParked, PARKED_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private RequestTask newTask(String id, CallerRequest request, Route route, CallerResponse response) {
        long deadlineMs = deadlineMs(request.headers(), route);
        boolean internal = isInternal(id);
        long waitedMs = internal ? 0 : waitedMs(route, deadlineMs);
        long objectiveMs = route.objectiveMs() - waitedMs;
        long arrivedNs = request.arrivedNs();
        long requestedDeadlineNs = arrivedNs + TimeUnit.MILLISECONDS.toNanos(Math.min(deadlineMs, route.timeoutMs()));
        long deadlineNs = Math.min(requestedDeadlineNs, stopNs);
        String service = serviceSplit.choose(route);
        List<Header> headers = HopByHopHeaders.endToEnd(request.headers(), replacedHeaders);
        headers.add(new Header(names.callerService(), settings.callerService()));
        ForwardedRequest forwarded = new ForwardedRequest(
                id,
                service,
                request.method(),
                request.uri(),
                headers,
                request.body(),
                deadlineNs,
                arrivedNs + TimeUnit.MILLISECONDS.toNanos(objectiveMs),
                route.priority(),
                route.kind(),
                internal,
                key(request.headers(), service),
                Fingerprint.of(request, settings.callerService()));
        if (!internal) {
            retryBudget(service).requested(arrivedNs);
        }
        long lastResponseNs = Math.min(requestedDeadlineNs, deadlineNs + LAST_RESPONSE_NS);
        long callerDeadlineNs = arrivedNs + TimeUnit.MILLISECONDS.toNanos(deadlineMs);
        RequestTimes times = new RequestTimes(arrivedNs, lastResponseNs, requestedDeadlineNs, callerDeadlineNs);
        return new RequestTask(this, route, forwarded, response, times);
    }

    /** An internal call has the id of the request that the backend server runs, a dot and an id of its own. */
    private boolean isInternal(String id) {
        int dot = id.indexOf('.');
        return dot > 0 && runsLocally.test(id.substring(0, dot));
    }

    /**
     * Estimates how long a caller has waited. A caller that retries sends only its remaining time as the deadline, so
     * the difference to the longest deadline of the route is the time that it has waited.
     */
    private long waitedMs(Route route, long deadlineMs) {
        return longestDeadlinesMs.merge(route.name(), deadlineMs, Math::max) - deadlineMs;
    }

    private long deadlineMs(HttpHeaders headers, Route route) {
        String value = headers.get(names.deadlineMs());
        if (value == null) {
            return route.timeoutMs();
        }
        try {
            long deadlineMs = (long) Double.parseDouble(value.trim());
            return Math.min(MAX_DEADLINE_MS, Math.max(1, deadlineMs));
        } catch (NumberFormatException e) {
            EventLog.log(LogEvent.REQUEST_REJECTED, "header", names.deadlineMs(), "value", value, "used", "timeout");
            return route.timeoutMs();
        }
    }

    private int key(HttpHeaders headers, String service) {
        boolean keyed = routes.service(service).map(ServiceSpec::keyed).orElse(false);
        String value = headers.get(names.key());
        if (!keyed || value == null) {
            return ForwardedRequest.NO_KEY;
        }
        try {
            int key = Integer.parseInt(value.trim());
            return key >= 0 && key <= MAX_KEY ? key : ForwardedRequest.NO_KEY;
        } catch (NumberFormatException e) {
            EventLog.log(LogEvent.REQUEST_REJECTED, "header", names.key(), "value", value, "used", "no key");
            return ForwardedRequest.NO_KEY;
        }
    }

    private Runnable respondWithError(
            CallerResponse response, CallerRequest request, int status, String detail, List<Header> headers) {
        EventLog.log(
                LogEvent.REQUEST_FAILED,
                "request",
                request.headers().get(names.requestId()),
                "status",
                status,
                "cause",
                detail,
                "config",
                routes == null ? 0 : routes.version());
        failed.inc();
        response.send(status, headers, new byte[0]);
        return () -> {};
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
