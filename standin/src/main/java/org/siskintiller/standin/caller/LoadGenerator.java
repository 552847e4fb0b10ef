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

/** Sends requests at fixed times, whether or not earlier ones were answered. */
final class LoadGenerator {
    private static final long NS_PER_MS = 1_000_000;
    private static final double NS_PER_SECOND = 1e9;
    private static final long NS_PER_US = 1_000;
    private static final long DRAIN_STEP_MS = 5;
    private static final long MAX_PARK_NS = 50 * NS_PER_MS;

    static {
        // The JDK client resends a GET by itself when a reused connection breaks, which would hide the failure.
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
    private final AtomicLong tags = new AtomicLong();
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

    /** Runs to the end of the mix and waits for the answers. */
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
                arrive(next, startNs);
                arrivals.add(arrival(next.stream(), next.index() + 1));
            }
        }
        while (inFlight.get() > 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_STEP_MS);
        }
    }

    private static Arrival arrival(StreamSpec stream, long index) {
        double offsetNs = stream.startMs() * (double) NS_PER_MS + index * NS_PER_SECOND / stream.ratePerSecond();
        return new Arrival(stream, index, (long) offsetNs);
    }

    private void sleepUntil(long dueNs) {
        long leftNs = dueNs - System.nanoTime();
        while (leftNs > 0 && !stopped) {
            LockSupport.parkNanos(Math.min(leftNs, MAX_PARK_NS));
            leftNs = dueNs - System.nanoTime();
        }
    }

    private void arrive(Arrival arrival, long startNs) {
        StreamSpec stream = arrival.stream();
        String key = stream.keys().choose(random, arrival.offsetNs() / NS_PER_MS);
        boolean repeat = random.nextDouble() < stream.repeats();
        stats.arrived(stream.rank());
        if (inFlight.get() >= mix.maxInFlight()) {
            stats.skipped(stream.rank());
            return;
        }
        String idempotencyKey = stream.idempotencyKeys() ? idempotencyKeys.next(System.currentTimeMillis()) : null;
        CallerRequest request = new CallerRequest(
                stream, tagPrefix + tags.incrementAndGet(), key, idempotencyKey, startNs + arrival.offsetNs());
        inFlight.incrementAndGet();
        attempt(request, 0, repeat);
    }

    private void attempt(CallerRequest request, int attempt, boolean repeat) {
        send(request, attempt).whenComplete((answer, failure) -> {
            if (failure != null) {
                // A failure here is a fault of the caller itself; the run must end all the same.
                inFlight.decrementAndGet();
                stats.finished(request.stream().rank(), new CallerAnswer.Failed(failure.toString()), 0);
                return;
            }
            boolean ok = answer instanceof CallerAnswer.Ok;
            if (answer instanceof CallerAnswer.Mismatched) {
                stats.mismatched();
            }
            if (!ok && attempt < request.stream().resends()) {
                CompletableFuture.delayedExecutor(request.stream().resendDelayMs(), TimeUnit.MILLISECONDS)
                        .execute(() -> attempt(request, attempt + 1, repeat));
                return;
            }
            long latencyUs = (System.nanoTime() - request.intendedNs()) / NS_PER_US;
            stats.finished(request.stream().rank(), answer, latencyUs);
            if (ok && repeat) {
                repeat(request, attempt + 1, (CallerAnswer.Ok) answer);
            } else {
                inFlight.decrementAndGet();
            }
        });
    }

    private void repeat(CallerRequest request, int attempt, CallerAnswer.Ok first) {
        send(request, attempt).whenComplete((answer, failure) -> {
            boolean ranAgain = request.idempotencyKey() != null
                    && answer instanceof CallerAnswer.Ok second
                    && !second.execution().equals(first.execution());
            if (answer instanceof CallerAnswer.Mismatched) {
                stats.mismatched();
            }
            stats.repeated(ranAgain);
            inFlight.decrementAndGet();
        });
    }

    private CompletableFuture<CallerAnswer> send(CallerRequest request, int attempt) {
        Address target = mix.targets()
                .get(Math.floorMod(nextTarget.getAndIncrement(), mix.targets().size()));
        long sentWallMs = System.currentTimeMillis();
        long sentNs = System.nanoTime();
        stats.sent(request.stream().rank());
        CompletableFuture<HttpResponse<AnswerBody>> sent =
                http.sendAsync(httpRequest(request, target), AnswerBody::subscriber);
        long timeoutMs = request.stream().deadlineMs() + mix.marginMs();
        // The timeout of HttpRequest would not cover a body that stalls.
        return sent.thenApply(response -> response)
                .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .handle((response, failure) -> {
                    if (failure != null) {
                        sent.cancel(true);
                    }
                    CallerAnswer answer = CallerAnswer.of(request, response, failure);
                    CallerJournal.Times times = new CallerJournal.Times(sentWallMs, sentNs, System.nanoTime());
                    journal.write(request, attempt, target, times, answer);
                    return answer;
                });
    }

    private static HttpRequest httpRequest(CallerRequest request, Address target) {
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
