package org.siskintiller.standin.caller;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.siskintiller.core.model.Address;

/** Open-loop load generator: sends requests at fixed times, independently of the responses to earlier ones. */
final class LoadGenerator {
    private static final long NS_PER_MS = 1_000_000;
    private static final double NS_PER_SECOND = 1e9;
    private static final long NS_PER_US = 1_000;
    private static final long DRAIN_POLL_INTERVAL_MS = 5;
    private static final long MAX_PARK_NS = 50 * NS_PER_MS;

    static {
        // By default, the JDK client resends a GET when a reused connection breaks, which would hide the failure.
        System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
    }

    private final CallerMix mix;
    private final CallerStats stats;
    private final CallerJournal journal;
    private final Random random;
    private final IdempotencyKeys idempotencyKeys = new IdempotencyKeys();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String tagPrefix;
    private final AtomicLong tagCount = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger nextTarget = new AtomicInteger();
    private volatile boolean stopped;

    LoadGenerator(CallerMix mix, CallerStats stats, CallerJournal journal) {
        this.mix = mix;
        this.stats = stats;
        this.journal = journal;
        this.random = new Random(mix.seed());
        this.tagPrefix = Long.toHexString(new Random().nextLong()) + "-";
    }

    private record Arrival(StreamSpec stream, long index, long offsetNs) {}

    void stop() {
        stopped = true;
    }

    /** Runs until the end of the mix or a stop, and waits for the open requests. */
    void run() throws InterruptedException {
        long startNs = System.nanoTime();
        PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingLong(Arrival::offsetNs));
        for (StreamSpec stream : mix.streams()) {
            arrivals.add(arrival(stream, 0));
        }
        while (!arrivals.isEmpty() && !stopped) {
            Arrival next = arrivals.poll();
            if (next.offsetNs() < Math.min(next.stream().stopMs(), mix.durationMs()) * NS_PER_MS) {
                sleepUntil(startNs + next.offsetNs());
                startRequest(next, startNs);
                arrivals.add(arrival(next.stream(), next.index() + 1));
            }
        }
        while (inFlight.get() > 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL_MS);
        }
    }

    private static Arrival arrival(StreamSpec stream, long index) {
        double offsetNs = stream.startMs() * (double) NS_PER_MS + index * NS_PER_SECOND / stream.ratePerSecond();
        return new Arrival(stream, index, (long) offsetNs);
    }

    private void sleepUntil(long wakeUpNs) {
        long remainingNs = wakeUpNs - System.nanoTime();
        while (remainingNs > 0 && !stopped) {
            LockSupport.parkNanos(Math.min(remainingNs, MAX_PARK_NS));
            remainingNs = wakeUpNs - System.nanoTime();
        }
    }

    private void startRequest(Arrival arrival, long startNs) {
        StreamSpec stream = arrival.stream();
        String key = stream.keys().choose(random, arrival.offsetNs() / NS_PER_MS);
        boolean sendsRepeat = random.nextDouble() < stream.repeats();
        stats.recordArrival(stream.rank());
        if (inFlight.get() >= mix.maxInFlight()) {
            stats.recordSkip(stream.rank());
            return;
        }
        String idempotencyKey = stream.idempotencyKeys() ? idempotencyKeys.next(System.currentTimeMillis()) : null;
        CallerRequest request = new CallerRequest(
                stream, tagPrefix + tagCount.incrementAndGet(), key, idempotencyKey, startNs + arrival.offsetNs());
        inFlight.incrementAndGet();
        sendAttempt(request, 0, sendsRepeat);
    }

    private void sendAttempt(CallerRequest request, int attempt, boolean sendsRepeat) {
        send(request, attempt).whenComplete((result, failure) -> {
            if (failure != null) {
                // An exception here is a fault of the caller, not of the target; the run must still end.
                inFlight.decrementAndGet();
                stats.recordResult(request.stream().rank(), new SendResult.Failed(failure.toString()), 0);
                return;
            }
            boolean isOk = result instanceof SendResult.Ok;
            if (result instanceof SendResult.Mismatched) {
                stats.recordMismatch();
            }
            if (!isOk && attempt < request.stream().resends()) {
                CompletableFuture.delayedExecutor(request.stream().resendDelayMs(), TimeUnit.MILLISECONDS)
                        .execute(() -> sendAttempt(request, attempt + 1, sendsRepeat));
                return;
            }
            long latencyUs = (System.nanoTime() - request.intendedNs()) / NS_PER_US;
            stats.recordResult(request.stream().rank(), result, latencyUs);
            if (isOk && sendsRepeat) {
                sendRepeat(request, attempt + 1, (SendResult.Ok) result);
            } else {
                inFlight.decrementAndGet();
            }
        });
    }

    private void sendRepeat(CallerRequest request, int attempt, SendResult.Ok first) {
        send(request, attempt).whenComplete((result, failure) -> {
            boolean executedTwice = request.idempotencyKey() != null
                    && result instanceof SendResult.Ok second
                    && !second.execution().equals(first.execution());
            if (result instanceof SendResult.Mismatched) {
                stats.recordMismatch();
            }
            stats.recordRepeat(executedTwice);
            inFlight.decrementAndGet();
        });
    }

    private CompletableFuture<SendResult> send(CallerRequest request, int attempt) {
        Address target = mix.targets()
                .get(Math.floorMod(nextTarget.getAndIncrement(), mix.targets().size()));
        long sentWallMs = System.currentTimeMillis();
        long sentNs = System.nanoTime();
        stats.recordSend(request.stream().rank());
        CompletableFuture<HttpResponse<ResponseBody>> pending =
                http.sendAsync(buildHttpRequest(request, target), ResponseBody::subscriber);
        long timeoutMs = request.stream().deadlineMs() + mix.marginMs();
        // The timeout of HttpRequest does not cover the response body.
        return pending.thenApply(response -> response)
                .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .handle((response, failure) -> {
                    if (failure != null) {
                        pending.cancel(true);
                    }
                    SendResult result = SendResult.of(request, response, failure);
                    CallerJournal.Times times = new CallerJournal.Times(sentWallMs, sentNs, System.nanoTime());
                    journal.write(request, attempt, target, times, result);
                    return result;
                });
    }

    private static HttpRequest buildHttpRequest(CallerRequest request, Address target) {
        StreamSpec stream = request.stream();
        HttpRequest.BodyPublisher body = stream.bodyBytes() == 0
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(new byte[stream.bodyBytes()]);
        HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://" + target + "/" + stream.service() + stream.path()))
                .method(stream.method(), body)
                .header("Siskin-Deadline-Ms", Long.toString(stream.deadlineMs()))
                .header("X-Caller-Tag", request.tag());
        addHeader(builder, "Siskin-Key", request.keyOrEmpty());
        addHeader(builder, "Siskin-Rank", stream.rank());
        addHeader(builder, "Siskin-Customer", stream.customer());
        addHeader(builder, "Idempotency-Key", request.idempotencyKey() == null ? "" : request.idempotencyKey());
        return builder.build();
    }

    private static void addHeader(HttpRequest.Builder builder, String name, String value) {
        if (!value.isEmpty()) {
            builder.header(name, value);
        }
    }
}
