package org.siskintiller.router.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import org.siskintiller.core.balance.LeastDelay;
import org.siskintiller.core.path.Route;
import org.siskintiller.core.retry.RetryAfter;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.ingress.CallerResponse;

/** One request of a caller from its arrival to its final response. */
final class RequestTask {
    /**
     * A response is held back until it is complete or this long, so that one that breaks off early can be fetched
     * again.
     */
    private static final int HELD_BYTES = 256 * 1024;

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int FIRST_SERVER_ERROR = 500;
    /** A request waits for a change of owners for this part of its objective; then its caller is told to come back. */
    private static final int PARKED_PART_OF_OBJECTIVE = 8;
    /** Keys that change hands are served again within about a second. */
    private static final long OWNER_CHANGE_MS = 700;

    private final RequestRouter router;
    private final Route route;
    private final ForwardedRequest request;
    private final CallerResponse response;
    private final long arrivedNs;
    private final long callerDeadlineNs;
    private final ScheduledFuture<?> deadlineTimer;
    private final Set<String> excluded = new HashSet<>();
    private final List<byte[]> heldData = new ArrayList<>();
    private int heldBytes;
    private ResponseHead head;
    private boolean streaming;
    private boolean ended;
    private int companionsAsked;
    private int arrivals;
    /** A send ended without a response, so that no refusal may say that the request has not run. */
    private boolean mayHaveRun;

    private long parkedNs;
    private long parkedSinceNs;
    private SentRequest sent;
    private String instance = "";
    private Attempt current;
    private WholeResponse fallback;
    private String lastCause = "";

    RequestTask(
            RequestRouter router,
            Route route,
            ForwardedRequest request,
            CallerResponse response,
            long arrivedNs,
            long callerDeadlineNs) {
        this.router = router;
        this.route = route;
        this.request = request;
        this.response = response;
        this.arrivedNs = arrivedNs;
        this.callerDeadlineNs = callerDeadlineNs;
        long leftNs = request.deadlineNs() - System.nanoTime();
        this.deadlineTimer = router.loop().schedule(this::deadlinePassed, Math.max(0, leftNs), TimeUnit.NANOSECONDS);
        response.onWritten(this::written);
    }

    /** Sends the request to a backend server, or waits for one. */
    void attempt() {
        if (ended) {
            return;
        }
        long nowNs = System.nanoTime();
        if (parkedSinceNs != 0) {
            parkedNs += nowNs - parkedSinceNs;
            parkedSinceNs = 0;
        }
        Optional<String> target = target();
        Optional<Destination> destination = target.flatMap(router.backends()::destination);
        if (destination.isEmpty()) {
            lastCause = target.map(name -> "not connected to " + name).orElse("no backend server is available");
            if (!excluded.isEmpty() && request.key() == ForwardedRequest.NO_KEY) {
                refuse(0);
                return;
            }
            park(nowNs);
            return;
        }
        send(target.get(), destination.get());
    }

    /** The caller closed its connection. */
    void callerLeft() {
        if (ended) {
            return;
        }
        EventLog.log(
                LogEvent.REQUEST_GIVEN_UP, "request", request.requestId(), "instance", instance, "ms", elapsedMs());
        cancelSent();
        end(false);
    }

    private Optional<String> target() {
        if (request.key() != ForwardedRequest.NO_KEY) {
            return router.backends().holderOf(request.service(), request.key());
        }
        return LeastDelay.choose(router.backends().candidates(request.service(), request.kind()), excluded);
    }

    private void send(String target, Destination destination) {
        instance = target;
        companionsAsked++;
        head = null;
        heldData.clear();
        heldBytes = 0;
        Attempt attempt = new Attempt(target);
        current = attempt;
        router.backends().requestSent(target);
        sent = null;
        SentRequest handle = destination.send(request, attempt);
        // A refusal may have come at once and started the next attempt.
        if (current == attempt && !attempt.over) {
            sent = handle;
        }
    }

    private void park(long nowNs) {
        long limitNs = TimeUnit.MILLISECONDS.toNanos(route.objectiveMs()) / PARKED_PART_OF_OBJECTIVE;
        if (parkedNs >= limitNs) {
            refuse(OWNER_CHANGE_MS);
            return;
        }
        parkedSinceNs = nowNs;
        router.park(this);
    }

    private void refused(Refusal refusal) {
        lastCause = "refused by " + instance + ": " + refusal.reason();
        if (refusal.arrived()) {
            arrivals++;
        }
        if (fallback != null) {
            deliver(fallback);
            return;
        }
        boolean keyed = request.key() != ForwardedRequest.NO_KEY;
        AttemptPolicy.Next next = AttemptPolicy.afterRefusal(refusal.reason(), keyed, companionsAsked);
        if (next == AttemptPolicy.Next.ANOTHER && refusal.arrived() && !mayArriveAgain()) {
            next = AttemptPolicy.Next.REFUSE;
        }
        switch (next) {
            case ANOTHER -> {
                excluded.add(instance);
                attempt();
            }
            case PARK -> park(System.nanoTime());
            default -> refuse(refusal.retryAfterMs());
        }
    }

    private void failed(SendFailure failure) {
        lastCause = "failed at " + instance + ": " + failure.detail();
        arrivals++;
        mayHaveRun = true;
        if (streaming) {
            EventLog.log(LogEvent.RESPONSE_CUT, "request", request.requestId(), "cause", lastCause);
            response.abort();
            end(false);
            return;
        }
        if (fallback != null) {
            deliver(fallback);
            return;
        }
        if (failure.timedOut()) {
            answerError(GATEWAY_TIMEOUT, List.of());
            return;
        }
        if (AttemptPolicy.mayRepeat(request.kind(), arrivals, route.maxAttempts()) && takeRetry()) {
            excluded.add(instance);
            attempt();
            return;
        }
        answerError(BAD_GATEWAY, List.of());
    }

    private void completed() {
        arrivals++;
        WholeResponse whole = new WholeResponse(head, List.copyOf(heldData), instance);
        boolean error = head.status() >= FIRST_SERVER_ERROR;
        mayHaveRun = true;
        if (error
                && fallback == null
                && System.nanoTime() < request.objectiveNs()
                && AttemptPolicy.mayRepeat(request.kind(), arrivals, route.maxAttempts())
                && takeRetry()) {
            fallback = whole;
            excluded.add(instance);
            attempt();
            return;
        }
        deliver(error && fallback != null ? fallback : whole);
    }

    private boolean mayArriveAgain() {
        return arrivals < route.maxAttempts() && takeRetry();
    }

    private boolean takeRetry() {
        boolean taken = router.budget(request.service()).tryTake(System.nanoTime());
        if (!taken) {
            lastCause += "; the retry budget is used up";
        }
        return taken;
    }

    private void deliver(WholeResponse whole) {
        response.start(whole.head);
        int left = whole.data.size();
        if (left == 0) {
            response.data(new byte[0], true);
        }
        for (byte[] data : whole.data) {
            left--;
            response.data(data, left == 0);
        }
        log(LogEvent.REQUEST_COMPLETED, whole.head.status(), whole.instance);
        end(whole.head.status() < FIRST_SERVER_ERROR);
    }

    private void startStreaming() {
        streaming = true;
        response.start(head);
        heldData.forEach(data -> response.data(data, false));
        heldData.clear();
    }

    private void written(int bytes) {
        if (streaming && sent != null) {
            sent.credit(bytes);
        }
    }

    private void refuse(long retryAfterMs) {
        if (mayHaveRun) {
            answerError(BAD_GATEWAY, List.of());
            return;
        }
        double leftMs = (callerDeadlineNs - System.nanoTime()) / 1e6;
        String seconds = String.valueOf(RetryAfter.waitMs(retryAfterMs, leftMs, Math.random()) / 1000.0);
        answerError(UNAVAILABLE, List.of(new Header("Retry-After", seconds)));
    }

    private void answerError(int status, List<Header> headers) {
        log(LogEvent.REQUEST_FAILED, status, instance);
        response.send(status, headers, new byte[0]);
        end(false);
    }

    /** Writes the line of the final response, with what decided it. */
    private void log(LogEvent event, int status, String from) {
        EventLog.log(
                event,
                "request",
                request.requestId(),
                "status",
                status,
                "route",
                route.name(),
                "service",
                request.service(),
                "instance",
                from,
                "key",
                request.key(),
                "cause",
                lastCause,
                "companions",
                companionsAsked,
                "arrivals",
                arrivals,
                "ms",
                elapsedMs(),
                "parked_ms",
                parkedNs / 1_000_000,
                "internal",
                request.internal(),
                "config",
                router.routesVersion());
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        boolean offered = current != null && !current.over;
        cancelSent();
        if (streaming) {
            response.abort();
            end(false);
            return;
        }
        if (fallback != null) {
            deliver(fallback);
            return;
        }
        lastCause = "deadline passed; " + lastCause;
        if (offered || mayHaveRun) {
            answerError(GATEWAY_TIMEOUT, List.of());
        } else {
            refuse(0);
        }
    }

    private void cancelSent() {
        if (current != null) {
            current.over = true;
        }
        if (sent != null) {
            sent.cancel();
            sent = null;
        }
    }

    private void end(boolean success) {
        ended = true;
        deadlineTimer.cancel(false);
        router.ended(this, success, System.nanoTime() - arrivedNs);
    }

    private long elapsedMs() {
        return (System.nanoTime() - arrivedNs) / 1_000_000;
    }

    private record WholeResponse(ResponseHead head, List<byte[]> data, String instance) {}

    /** Listens to one send. What it hears after its end is ignored. */
    private final class Attempt implements ResponseListener {
        private final String target;
        private boolean over;

        private Attempt(String target) {
            this.target = target;
        }

        @Override
        public void started(ResponseHead newHead) {
            if (!over) {
                head = newHead;
            }
        }

        @Override
        public void data(byte[] data, boolean last) {
            if (over) {
                return;
            }
            if (streaming) {
                response.data(data, last);
                if (last) {
                    close(head.status() >= FIRST_SERVER_ERROR);
                    arrivals++;
                    log(LogEvent.REQUEST_COMPLETED, head.status(), target);
                    end(true);
                }
                return;
            }
            if (data.length > 0) {
                heldData.add(data);
                heldBytes += data.length;
            }
            if (last) {
                close(head.status() >= FIRST_SERVER_ERROR);
                completed();
                return;
            }
            if (sent != null) {
                sent.credit(data.length);
            }
            if (heldBytes >= HELD_BYTES) {
                startStreaming();
            }
        }

        @Override
        public void refused(Refusal refusal) {
            if (over) {
                return;
            }
            close(refusal.reason() == RefusalReason.REJECTED);
            RequestTask.this.refused(refusal);
        }

        @Override
        public void failed(SendFailure failure) {
            if (over) {
                return;
            }
            close(true);
            RequestTask.this.failed(failure);
        }

        private void close(boolean failure) {
            over = true;
            sent = null;
            router.backends().requestEnded(target, failure);
        }
    }
}
