package org.siskintiller.router.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import org.siskintiller.core.path.Route;
import org.siskintiller.core.retry.RejectedRequest;
import org.siskintiller.core.retry.RetryAfter;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.ingress.CallerResponse;

/** One request of a caller from its arrival to its final response. */
final class RequestTask {
    /**
     * A response is buffered until it is complete or reaches this size, so that the request can be retried when its
     * response is cut off early.
     */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /** As above ahead of other requests, which a truncated response would end. A quarter of the memory for all responses. */
    private static final int MAX_BUFFERED_BYTES_AHEAD = 4 * 1024 * 1024;

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int FIRST_SERVER_ERROR = 500;
    /** A request is parked for at most its objective divided by this number. Then it is refused with Retry-After. */
    private static final int PARKED_OBJECTIVE_DIVISOR = 8;
    /** Retry-After of a key that moves to another holder, which serves it within about a second. */
    private static final long HOLDER_CHANGE_RETRY_AFTER_MS = 700;
    /** Retry-After while all failure domains of a service are evacuated, which lasts for seconds. */
    private static final long EVACUATED_RETRY_AFTER_MS = 1_000;

    private final RequestRouter router;
    private final Route route;
    private final ForwardedRequest request;
    private final CallerResponse response;
    private final RequestTimes times;
    private ScheduledFuture<?> deadlineTimer;
    private final Set<String> excludedInstances = new HashSet<>();
    private final ResponseBuffer buffer;
    /** Bytes for which credit was given when they were buffered, before they were written to the caller. */
    private int creditedBytes;

    private ResponseHead head;
    private boolean streaming;
    private boolean ended;
    private int companionsTried;
    private int backendAttempts;
    /** Whether an attempt may have run the request, so that a refusal must not state that it has not run. */
    private boolean mayHaveRun;

    private long parkedNs;
    private long parkedSinceNs;
    private SentRequest sentRequest;
    private String instance = "";
    private Attempt currentAttempt;
    private WholeResponse fallbackResponse;
    private String lastCause = "";

    RequestTask(
            RequestRouter router, Route route, ForwardedRequest request, CallerResponse response, RequestTimes times) {
        this.router = router;
        this.route = route;
        this.request = request;
        this.response = response;
        this.times = times;
        this.buffer = new ResponseBuffer(router.responseBuffers());
        this.deadlineTimer = schedule(this::lastResponseDue, times.lastResponseNs());
        response.onWritten(this::bodyWritten);
    }

    /** Sends the request to a backend server, or parks it until one is available. */
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
            if (!excludedInstances.isEmpty() && request.key() == ForwardedRequest.NO_KEY) {
                refuse(0);
                return;
            }
            if (request.key() == ForwardedRequest.NO_KEY && router.backends().isEvacuated(request.service())) {
                lastCause = "all backend servers are in evacuated failure domains";
                refuse(EVACUATED_RETRY_AFTER_MS);
                return;
            }
            park(nowNs);
            return;
        }
        send(target.get(), destination.get());
    }

    /** The caller closed its connection. */
    void callerDisconnected() {
        if (ended) {
            return;
        }
        EventLog.log(
                LogEvent.REQUEST_GIVEN_UP,
                "request",
                request.requestId(),
                "instance",
                instance,
                "ms",
                elapsedMs(),
                "lag_ms",
                router.lagMs());
        cancelCurrentAttempt();
        end(false);
    }

    private Optional<String> target() {
        if (request.key() != ForwardedRequest.NO_KEY) {
            return router.backends().holderOf(request.service(), request.key());
        }
        return router.backends().choose(request, excludedInstances);
    }

    private void send(String target, Destination destination) {
        instance = target;
        companionsTried++;
        head = null;
        buffer.clear();
        creditedBytes = 0;
        if (fallbackResponse == null) {
            buffer.release();
        }
        Attempt attempt = new Attempt(target);
        currentAttempt = attempt;
        router.backends().requestSent(target);
        sentRequest = null;
        SentRequest handle = destination.send(request, attempt);
        // The destination may have refused at once, which starts the next attempt before send returns.
        if (currentAttempt == attempt && !attempt.finished) {
            sentRequest = handle;
        }
    }

    private void park(long nowNs) {
        long limitNs = TimeUnit.MILLISECONDS.toNanos(route.objectiveMs()) / PARKED_OBJECTIVE_DIVISOR;
        if (parkedNs >= limitNs) {
            refuse(HOLDER_CHANGE_RETRY_AFTER_MS);
            return;
        }
        parkedSinceNs = nowNs;
        router.park(this);
    }

    private void handleRefusal(Refusal refusal) {
        lastCause = "refused by " + instance + ": " + refusal.reason();
        if (refusal.reachedBackend()) {
            backendAttempts++;
        }
        if (fallbackResponse != null) {
            deliver(fallbackResponse);
            return;
        }
        boolean keyed = request.key() != ForwardedRequest.NO_KEY;
        AttemptPolicy.Next next = nextAfter(refusal, keyed);
        boolean sendAgain = next == AttemptPolicy.Next.ANOTHER || next == AttemptPolicy.Next.SAME;
        if (sendAgain && refusal.reachedBackend() && !maySendToBackendAgain()) {
            next = AttemptPolicy.Next.REFUSE;
        }
        switch (next) {
            case ANOTHER -> {
                excludedInstances.add(instance);
                attempt();
            }
            case SAME -> {
                router.countRepeat();
                attempt();
            }
            case PARK -> park(System.nanoTime());
            default -> refuse(refusal);
        }
    }

    private AttemptPolicy.Next nextAfter(Refusal refusal, boolean keyed) {
        boolean repeat = keyed
                && refusal.reason() == RefusalReason.REJECTED
                && RejectedRequest.mayRepeat(refusal.retryAfterMs(), request.objectiveNs(), System.nanoTime());
        return repeat ? AttemptPolicy.Next.SAME : AttemptPolicy.afterRefusal(refusal.reason(), keyed, companionsTried);
    }

    private void handleFailure(SendFailure failure) {
        lastCause = "failed at " + instance + ": " + failure.detail();
        backendAttempts++;
        mayHaveRun = true;
        if (truncateIfWritten(lastCause)) {
            return;
        }
        if (fallbackResponse != null) {
            deliver(fallbackResponse);
            return;
        }
        if (failure.timedOut()) {
            respondWithError(GATEWAY_TIMEOUT, List.of());
            return;
        }
        if (AttemptPolicy.mayRetry(request.kind(), backendAttempts, route.maxAttempts()) && takeFromRetryBudget()) {
            excludedInstances.add(instance);
            attempt();
            return;
        }
        respondWithError(BAD_GATEWAY, List.of());
    }

    private void handleResponse() {
        backendAttempts++;
        WholeResponse whole = new WholeResponse(head, buffer.parts(), instance);
        boolean error = head.status() >= FIRST_SERVER_ERROR;
        mayHaveRun = true;
        if (error
                && fallbackResponse == null
                && System.nanoTime() < request.objectiveNs()
                && AttemptPolicy.mayRetry(request.kind(), backendAttempts, route.maxAttempts())
                && takeFromRetryBudget()) {
            fallbackResponse = whole;
            excludedInstances.add(instance);
            attempt();
            return;
        }
        deliver(error && fallbackResponse != null ? fallbackResponse : whole);
    }

    private boolean maySendToBackendAgain() {
        return backendAttempts < route.maxAttempts() && takeFromRetryBudget();
    }

    private boolean takeFromRetryBudget() {
        boolean taken = router.retryBudget(request.service()).tryTake(request.internal(), System.nanoTime());
        if (!taken) {
            lastCause += "; the retry budget is used up";
        }
        return taken;
    }

    private void deliver(WholeResponse whole) {
        response.start(whole.head);
        int remaining = whole.data.size();
        if (remaining == 0) {
            response.data(new byte[0], true);
        }
        for (byte[] data : whole.data) {
            remaining--;
            response.data(data, remaining == 0);
        }
        log(LogEvent.REQUEST_COMPLETED, whole.head.status(), whole.instance);
        end(whole.head.status() < FIRST_SERVER_ERROR);
    }

    private void startStreaming() {
        streaming = true;
        response.start(head);
        buffer.parts().forEach(data -> response.data(data, false));
        buffer.clear();
        buffer.release();
    }

    /** Truncates a streamed response. Returns false if the caller has nothing of it, so that another can take its place. */
    private boolean truncateIfWritten(String cause) {
        if (!streaming || response.withdraw()) {
            streaming = false;
            return false;
        }
        EventLog.log(LogEvent.RESPONSE_CUT, "request", request.requestId(), "cause", cause);
        response.abort();
        end(false);
        return true;
    }

    private void bodyWritten(int bytes) {
        if (!streaming || sentRequest == null) {
            return;
        }
        int creditedBefore = Math.min(creditedBytes, bytes);
        creditedBytes -= creditedBefore;
        if (bytes > creditedBefore) {
            sentRequest.credit(bytes - creditedBefore);
        }
    }

    private void refuse(Refusal refusal) {
        if (refusal.reason() == RefusalReason.REJECTED) {
            refuseFor(RejectedRequest.callerWaitMs(refusal.retryAfterMs(), remainingMs(), Math.random()));
        } else {
            refuse(refusal.retryAfterMs());
        }
    }

    private void refuse(long retryAfterMs) {
        refuseFor(RetryAfter.waitMs(retryAfterMs, remainingMs(), Math.random()));
    }

    private double remainingMs() {
        return (times.callerDeadlineNs() - System.nanoTime()) / 1e6;
    }

    private void refuseFor(long waitMs) {
        if (mayHaveRun) {
            respondWithError(BAD_GATEWAY, List.of());
            return;
        }
        respondWithError(UNAVAILABLE, List.of(new Header("Retry-After", String.valueOf(waitMs / 1000.0))));
    }

    private void respondWithError(int status, List<Header> headers) {
        log(LogEvent.REQUEST_FAILED, status, instance);
        response.send(status, headers, new byte[0]);
        end(false);
    }

    /** Logs the final response with the values that led to it. */
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
                companionsTried,
                "arrivals",
                backendAttempts,
                "ms",
                elapsedMs(),
                "parked_ms",
                parkedNs / 1_000_000,
                "internal",
                request.internal(),
                "lag_ms",
                router.lagMs(),
                "config",
                router.routesVersion());
    }

    /**
     * Ends the request, unless its response is on the way. A stop shortens the time of the backend server for the request, not that
     * of the network for the response.
     */
    private void lastResponseDue() {
        if (isReceiving() && times.requestedDeadlineNs() > System.nanoTime()) {
            deadlineTimer = schedule(this::deadlinePassed, times.requestedDeadlineNs());
            return;
        }
        deadlinePassed();
    }

    private void deadlinePassed() {
        endNow("deadline passed");
    }

    /**
     * Responds at once: with a closed connection the caller would not know that nothing follows. A response of which the caller has a
     * part goes on until the process ends, as it cannot be replaced.
     */
    void processEnds() {
        if (!isReceiving() || !streaming || !response.isBegun()) {
            endNow("the process ends");
        }
    }

    private boolean isReceiving() {
        return head != null && currentAttempt != null && !currentAttempt.finished;
    }

    private ScheduledFuture<?> schedule(Runnable action, long timeNs) {
        return router.loop().schedule(action, Math.max(0, timeNs - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void endNow(String cause) {
        if (ended) {
            return;
        }
        boolean attemptPending =
                currentAttempt != null && !currentAttempt.finished && (sentRequest == null || sentRequest.mayHaveRun());
        cancelCurrentAttempt();
        if (truncateIfWritten(cause)) {
            return;
        }
        if (fallbackResponse != null) {
            deliver(fallbackResponse);
            return;
        }
        lastCause = cause + "; " + lastCause;
        if (attemptPending || mayHaveRun) {
            respondWithError(GATEWAY_TIMEOUT, List.of());
        } else {
            refuse(0);
        }
    }

    private void cancelCurrentAttempt() {
        if (currentAttempt != null) {
            currentAttempt.finished = true;
        }
        if (sentRequest != null) {
            sentRequest.cancel();
            sentRequest = null;
        }
    }

    private void end(boolean success) {
        ended = true;
        buffer.release();
        deadlineTimer.cancel(false);
        router.taskEnded(this, success, System.nanoTime() - times.arrivedNs());
    }

    private long elapsedMs() {
        return (System.nanoTime() - times.arrivedNs()) / 1_000_000;
    }

    private record WholeResponse(ResponseHead head, List<byte[]> data, String instance) {}

    /** Receives the events of one send. Events that arrive after its end are ignored. */
    private final class Attempt implements ResponseListener {
        private final String target;
        private boolean finished;

        private Attempt(String target) {
            this.target = target;
        }

        @Override
        public void started(ResponseHead newHead) {
            if (!finished) {
                head = newHead;
            }
        }

        @Override
        public void data(byte[] data, boolean last) {
            if (finished) {
                return;
            }
            if (streaming) {
                response.data(data, last);
                if (last) {
                    finish(head.status() >= FIRST_SERVER_ERROR);
                    backendAttempts++;
                    log(LogEvent.REQUEST_COMPLETED, head.status(), target);
                    end(true);
                }
                return;
            }
            boolean isBuffered = buffer.add(data);
            if (last) {
                finish(head.status() >= FIRST_SERVER_ERROR);
                handleResponse();
                return;
            }
            if (sentRequest != null) {
                sentRequest.credit(data.length);
                creditedBytes += data.length;
            }
            if (buffer.bytes() >= maxBufferedBytes() || !isBuffered) {
                startStreaming();
            }
        }

        private int maxBufferedBytes() {
            return response.hasRequestsBehind() ? MAX_BUFFERED_BYTES_AHEAD : MAX_BUFFERED_BYTES;
        }

        @Override
        public void refused(Refusal refusal) {
            if (finished) {
                return;
            }
            finish(refusal.reason() == RefusalReason.REJECTED);
            RequestTask.this.handleRefusal(refusal);
        }

        @Override
        public void failed(SendFailure failure) {
            if (finished) {
                return;
            }
            finish(true);
            RequestTask.this.handleFailure(failure);
        }

        private void finish(boolean failed) {
            finished = true;
            sentRequest = null;
            router.backends().requestEnded(target, failed);
        }
    }
}
