package org.siskintiller.router.request;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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
import org.siskintiller.router.ingress.CallerHandler;
import org.siskintiller.router.ingress.CallerRequest;
import org.siskintiller.router.ingress.CallerResponse;

/** Entry of the requests that begin on this machine. */
public final class RequestRouter implements CallerHandler {
    /** Interval in which parked requests are tried again; table changes try them at once. */
    private static final long PARKED_CHECK_MS = 25;

    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final String NOT_READY_RETRY_AFTER = "0.5";
    /** The caller connects to another machine, or to this one when the next process has started. */
    private static final String STOPPING_RETRY_AFTER = "0.3";

    private static final int MOST_KEY = 65_535;

    private final EventLoop loop;
    private final HeaderNames names;
    private final RouterSettings settings;
    private final Backends backends;
    private final Predicate<String> runsHere;
    private final Set<String> replacedHeaders;
    private final WeightedSplit split = new WeightedSplit();
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
    private final Map<String, Long> longestDeadlines = new HashMap<>();
    private final Set<RequestTask> parked = new LinkedHashSet<>();
    private final Set<RequestTask> open = new LinkedHashSet<>();
    private final Timer responseTimer;
    private final Counter completed;
    private final Counter failed;
    private RouteTable routes;
    private int companions = 1;
    private boolean checking;
    private boolean stopping;

    /**
     * Creates the router.
     *
     * @param runsHere whether the backend server of this machine runs the request with that id
     */
    public RequestRouter(
            EventLoop loop,
            HeaderNames names,
            RouterSettings settings,
            Backends backends,
            Predicate<String> runsHere,
            MetricRegistry metrics) {
        this.loop = loop;
        this.names = names;
        this.settings = settings;
        this.backends = backends;
        this.runsHere = runsHere;
        this.replacedHeaders = Set.of(
                names.deadlineMs().toLowerCase(Locale.ROOT),
                names.expectedInstance().toLowerCase(Locale.ROOT),
                names.callerService().toLowerCase(Locale.ROOT),
                names.notExecuted().toLowerCase(Locale.ROOT));
        this.responseTimer = metrics.timer("ingress.response");
        this.completed = metrics.counter("ingress.completed");
        this.failed = metrics.counter("ingress.failed");
        metrics.gauge("ingress.open", () -> open::size);
        metrics.gauge("ingress.parked", () -> parked::size);
    }

    /** Puts a configuration in force. Requests that arrived before keep the route they were given. */
    public void apply(RouteTable next) {
        routes = next;
    }

    public void setCompanions(int count) {
        companions = count;
        budgets.values().forEach(budget -> budget.setCompanions(count));
    }

    /** Tries parked requests again after a change of owners or connections. */
    public void backendsChanged() {
        for (RequestTask task : List.copyOf(parked)) {
            parked.remove(task);
            task.attempt();
        }
    }

    /** Refuses new requests, except calls of requests that run. */
    public void stop() {
        stopping = true;
    }

    public int open() {
        return open.size();
    }

    @Override
    public Runnable handle(CallerRequest request, CallerResponse response) {
        String id = request.headers().get(names.requestId());
        if (id == null || id.isEmpty()) {
            return answer(response, request, BAD_REQUEST, "the request has no id", List.of());
        }
        if (routes == null) {
            return answer(
                    response,
                    request,
                    UNAVAILABLE,
                    "no configuration is known yet",
                    List.of(new Header("Retry-After", NOT_READY_RETRY_AFTER)));
        }
        if (stopping && !isInternal(id)) {
            return answer(
                    response,
                    request,
                    UNAVAILABLE,
                    "the process stops",
                    List.of(new Header("Retry-After", STOPPING_RETRY_AFTER)));
        }
        String host = Optional.ofNullable(request.headers().get("host")).orElse("");
        Optional<Route> route = routes.find(host, path(request.uri()));
        if (route.isEmpty()) {
            return answer(response, request, NOT_FOUND, "no route of " + host + " matches", List.of());
        }
        RequestTask task = task(id, request, route.get(), response);
        open.add(task);
        task.attempt();
        return task::callerLeft;
    }

    SharedRetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, name -> {
            SharedRetryBudget budget =
                    new SharedRetryBudget(settings.retryRatio(), settings.retrySlack(), settings.retryWindowMs());
            budget.setCompanions(companions);
            return budget;
        });
    }

    Backends backends() {
        return backends;
    }

    EventLoop loop() {
        return loop;
    }

    long routesVersion() {
        return routes.version();
    }

    void park(RequestTask task) {
        parked.add(task);
        if (!checking) {
            checking = true;
            loop.schedule(this::checkParked, PARKED_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    void ended(RequestTask task, boolean success, long elapsedNs) {
        open.remove(task);
        parked.remove(task);
        responseTimer.update(elapsedNs, TimeUnit.NANOSECONDS);
        (success ? completed : failed).inc();
    }

    private void checkParked() {
        checking = false;
        backendsChanged();
        if (!parked.isEmpty() && !checking) {
            checking = true;
            loop.schedule(this::checkParked, PARKED_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private RequestTask task(String id, CallerRequest request, Route route, CallerResponse response) {
        long deadlineMs = deadlineMs(request.headers(), route);
        boolean internal = isInternal(id);
        long waitedMs = internal ? 0 : waitedMs(route, deadlineMs);
        long objectiveMs = route.objectiveMs() - waitedMs;
        long arrivedNs = request.arrivedNs();
        long deadlineNs = arrivedNs + TimeUnit.MILLISECONDS.toNanos(Math.min(deadlineMs, route.timeoutMs()));
        String service = split.choose(route);
        List<Header> headers = HopHeaders.forwarded(request.headers(), replacedHeaders);
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
            budget(service).requested(arrivedNs);
        }
        return new RequestTask(
                this, route, forwarded, response, arrivedNs, arrivedNs + TimeUnit.MILLISECONDS.toNanos(deadlineMs));
    }

    /** Calls of a backend server carry the id of the request that they are made for, a dot and an id of their own. */
    private boolean isInternal(String id) {
        int dot = id.indexOf('.');
        return dot > 0 && runsHere.test(id.substring(0, dot));
    }

    /** A caller that comes back waits for the rest of its time only, so the difference tells how long it waited. */
    private long waitedMs(Route route, long deadlineMs) {
        return longestDeadlines.merge(route.name(), deadlineMs, Math::max) - deadlineMs;
    }

    private long deadlineMs(HttpHeaders headers, Route route) {
        String value = headers.get(names.deadlineMs());
        if (value == null) {
            return route.timeoutMs();
        }
        try {
            return Math.max(1, (long) Double.parseDouble(value.trim()));
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
            return key >= 0 && key <= MOST_KEY ? key : ForwardedRequest.NO_KEY;
        } catch (NumberFormatException e) {
            EventLog.log(LogEvent.REQUEST_REJECTED, "header", names.key(), "value", value, "used", "no key");
            return ForwardedRequest.NO_KEY;
        }
    }

    private Runnable answer(
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
