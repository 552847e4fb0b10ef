package org.siskintiller.node.runtime;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.ownership.KeyHash;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.node.request.InboundRequest;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.RequestHandler;
import org.siskintiller.node.request.RequestHead;

/** Serves callers: finds the owner, passes the request on, and retries where that is allowed. */
final class Ingress implements RequestHandler {
    private static final long FIRST_BACKOFF_MS = 10;
    private static final long MAX_BACKOFF_MS = 100;
    private static final Set<String> RETRIED = Set.of(
            "not-owner",
            "no-lease",
            "draining",
            "backend-refused",
            "backend-failed",
            "owner-unknown",
            "owner-unreachable",
            "answer-lost");

    private final Supplier<Optional<Generation>> generation;
    private final RemoteCall remote;
    private final PeerDirectory directory;
    private final Limits limits;
    private final NodeMetrics metrics;
    private final Suspects suspects = new Suspects();
    private final Targets targets = new Targets(suspects);
    private final RetryTokens retries = new RetryTokens();

    Ingress(
            Supplier<Optional<Generation>> generation,
            RemoteCall remote,
            PeerDirectory directory,
            Limits limits,
            NodeMetrics metrics) {
        this.generation = generation;
        this.remote = remote;
        this.directory = directory;
        this.limits = limits;
        this.metrics = metrics;
    }

    @Override
    public void serve(InboundRequest inbound) throws IOException {
        long startNs = Clock.nowNs();
        Optional<Generation> current = generation.get();
        if (current.isEmpty()) {
            refuse(inbound, Problem.notRun(503, "starting", "the companion has no session yet", "retry later"));
            return;
        }
        ClusterState state = current.get().control().state();
        Optional<Problem> problem = check(state, inbound.head());
        if (problem.isPresent()) {
            refuse(inbound, problem.get());
            return;
        }
        ServiceConfig service = state.config().service(inbound.head().service()).orElseThrow();
        RequestHead head = inbound.head();
        if (!service.idempotent() && head.idempotencyKey() == null) {
            head = head.withIdempotencyKey(Ids.uuidVersion7(Clock.wallMs()), true);
        }
        BodyPrefix prefix;
        try {
            prefix = BodyPrefix.read(head, inbound.body());
        } catch (IOException e) {
            refuse(inbound, Problem.notRun(400, "body-cut", "the body ended early", "send the whole body"));
            return;
        }
        GateRequest gate = gateRequest(state, service, head, prefix, startNs);
        attempts(inbound, head, gate, prefix);
        metrics.served(gate.rank(), Clock.nowNs() - startNs);
    }

    private static Optional<Problem> check(ClusterState state, RequestHead head) {
        Optional<ServiceConfig> service = state.config().service(head.service());
        if (service.isEmpty()) {
            return Optional.of(Problem.notRun(
                    404, "unknown-service", "no service " + head.service(), "use a published service name"));
        }
        if (state.removedCustomer(head.customer()).isPresent()) {
            return Optional.of(Problem.notRun(
                    403,
                    "customer-removed",
                    "the customer was removed",
                    "the customer was removed; ask the operators"));
        }
        if (service.get().keyed() && head.key() == null) {
            return Optional.of(
                    Problem.notRun(400, "key-missing", "the service needs a key", "send the header Siskin-Key"));
        }
        if (head.rank() != null && state.config().rank(head.rank()).isEmpty()) {
            return Optional.of(Problem.notRun(400, "unknown-rank", "no such rank", "use a published rank name"));
        }
        return Optional.empty();
    }

    private GateRequest gateRequest(
            ClusterState state, ServiceConfig service, RequestHead head, BodyPrefix prefix, long startNs) {
        String rank = head.rank() == null ? service.defaultRank() : head.rank();
        long deadlineMs = head.deadlineMs() > 0 ? head.deadlineMs() : defaultDeadlineMs(state.config(), rank);
        long digest = prefix.digest(head);
        return new GateRequest(
                head.id(),
                head.service(),
                slotOf(state, service, head),
                head.customer(),
                rank,
                service.idempotent(),
                head.idempotencyKey(),
                head.generatedKey(),
                digest,
                startNs + TimeUnit.MILLISECONDS.toNanos(Math.min(deadlineMs, limits.requestTimeoutMs())),
                digest,
                List.of());
    }

    private long defaultDeadlineMs(ClusterConfig config, String rank) {
        for (RankLimits rankLimits :
                config.preset(config.activePreset()).map(PresetConfig::ranks).orElse(List.of())) {
            if (rankLimits.rank().equals(rank) && rankLimits.deadlineMs() > 0) {
                return rankLimits.deadlineMs();
            }
        }
        return limits.requestTimeoutMs();
    }

    /** Returns the slot of a key or idempotency key, or null for a request that any backend server may run. */
    static SlotId slotOf(ClusterState state, ServiceConfig service, RequestHead head) {
        int slots = state.slotCount(service.name());
        String key = service.keyed() ? head.key() : service.idempotent() ? null : head.idempotencyKey();
        return key == null || slots == 0
                ? null
                : new SlotId(service.name(), KeyHash.slotOf(service.name(), key, slots));
    }

    private void attempts(InboundRequest inbound, RequestHead head, GateRequest gate, BodyPrefix prefix)
            throws IOException {
        Set<Incarnation> avoid = new HashSet<>();
        long backoffMs = FIRST_BACKOFF_MS;
        while (true) {
            Attempt attempt = attempt(inbound, head, gate, prefix, avoid);
            if (attempt instanceof Attempt.Done) {
                retries.succeeded();
                return;
            }
            Problem problem = ((Attempt.Failed) attempt).problem();
            long pauseMs = backoffMs / 2 + ThreadLocalRandom.current().nextLong(backoffMs);
            boolean inTime = Clock.nowNs() + TimeUnit.MILLISECONDS.toNanos(pauseMs) < gate.deadlineNs();
            if (!mayRetry(problem, gate, prefix) || !inTime || !retries.take()) {
                refuse(inbound, problem);
                return;
            }
            metrics.retried();
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
            pause(pauseMs);
        }
    }

    private static boolean mayRetry(Problem problem, GateRequest gate, BodyPrefix prefix) {
        return prefix.repeatable()
                && RETRIED.contains(problem.type())
                && (problem.outcome() == Outcome.NOT_RUN || gate.idempotent());
    }

    private Attempt attempt(
            InboundRequest inbound, RequestHead head, GateRequest gate, BodyPrefix prefix, Set<Incarnation> avoid)
            throws IOException {
        Generation own = generation.get().orElse(null);
        if (own == null) {
            return new Attempt.Failed(Problem.notRun(503, "no-lease", "the companion restarts", "retry"), false);
        }
        Optional<Session> target = targets.choose(own.control().state(), gate.service(), gate.slot(), avoid);
        if (target.isEmpty()) {
            return new Attempt.Failed(
                    Problem.notRun(503, "owner-unknown", "no companion serves this key now", "retry"), false);
        }
        Incarnation incarnation = target.get().incarnation();
        GatedRequest request = new GatedRequest(head, gate, prefix.body(), inbound.sink());
        targets.started(incarnation);
        try {
            Attempt attempt = incarnation.equals(own.incarnation())
                    ? own.serve(request)
                    : remote.call(request, directory.tcp(target.get()));
            remember(attempt, incarnation, avoid);
            return attempt;
        } finally {
            targets.ended(incarnation);
        }
    }

    /** Keeps the next attempt away from a companion that failed; one that only is not the owner yet stays usable. */
    private void remember(Attempt attempt, Incarnation incarnation, Set<Incarnation> avoid) {
        if (!(attempt instanceof Attempt.Failed failed)) {
            suspects.clear(incarnation);
            return;
        }
        avoid.clear();
        avoid.add(incarnation);
        if (failed.unreachable()) {
            suspects.mark(incarnation, Clock.nowNs());
        }
    }

    private void refuse(InboundRequest inbound, Problem problem) throws IOException {
        metrics.refused(problem.type());
        if (!inbound.sink().started()) {
            inbound.sink().refuse(problem);
        }
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the companion stops", e);
        }
    }
}
