package org.siskintiller.node.runtime;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.retry.FailedAttempt;
import org.siskintiller.core.retry.RetryDecision;
import org.siskintiller.core.routing.IngressRequest;
import org.siskintiller.core.routing.RouteDecision;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.node.request.InboundRequest;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.RequestHandler;
import org.siskintiller.node.request.RequestHead;

/** Serves requests of callers: routes each request, forwards it, and retries it if the retry policy allows. */
final class Ingress implements RequestHandler {
    private final Supplier<Optional<Generation>> currentGeneration;
    private final Supplier<Optional<ClusterState>> states;
    private final RemoteCall remoteCall;
    private final PeerDirectory directory;
    private final Limits limits;
    private final NodeMetrics metrics;
    private final PeerTracker tracker = new PeerTracker();
    private final Routing routing = new Routing(tracker, Ids.seed());

    Ingress(
            Supplier<Optional<Generation>> currentGeneration,
            Supplier<Optional<ClusterState>> states,
            RemoteCall remoteCall,
            PeerDirectory directory,
            Limits limits,
            NodeMetrics metrics) {
        this.currentGeneration = currentGeneration;
        this.states = states;
        this.remoteCall = remoteCall;
        this.directory = directory;
        this.limits = limits;
        this.metrics = metrics;
    }

    @Override
    public void serve(InboundRequest inbound) throws IOException {
        long startNs = Clock.nowNs();
        Optional<ClusterState> state = states.get();
        if (state.isEmpty()) {
            refuse(inbound, Problem.notRun(503, "starting", "the companion has no state yet", "retry later"));
            return;
        }
        ClusterConfig config = state.get().config();
        RequestHead head = inbound.head();
        Optional<ServiceConfig> service = config.service(head.service());
        if (head.rank() != null && config.rank(head.rank()).isEmpty()) {
            refuse(inbound, Problem.notRun(400, "unknown-rank", "no such rank", "use a published rank name"));
            return;
        }
        boolean needsGeneratedKey = service.isPresent() && !service.get().idempotent() && head.idempotencyKey() == null;
        if (needsGeneratedKey) {
            head = head.withIdempotencyKey(Ids.uuidVersion7(Clock.wallMs()), true);
        }
        BodyPrefix prefix;
        try {
            prefix = service.isPresent() ? BodyPrefix.read(head, inbound.body()) : BodyPrefix.EMPTY;
        } catch (IOException e) {
            refuse(inbound, Problem.notRun(400, "body-cut", e.getMessage(), "send the whole body within the limits"));
            return;
        }
        String rank = head.rank() != null
                ? head.rank()
                : service.map(ServiceConfig::defaultRank).orElse("");
        long deadlineNs = startNs + TimeUnit.MILLISECONDS.toNanos(deadlineMs(config, head, rank));
        runAttempts(new Call(
                inbound,
                head,
                prefix,
                rank,
                service.map(ServiceConfig::idempotent).orElse(false),
                deadlineNs));
        metrics.recordServed(rank, Clock.nowNs() - startNs);
    }

    private long deadlineMs(ClusterConfig config, RequestHead head, String rank) {
        long deadlineMs = head.deadlineMs() > 0 ? head.deadlineMs() : limits.requestTimeoutMs();
        if (head.deadlineMs() == 0) {
            for (RankLimits rankLimits : config.preset(config.activePreset())
                    .map(PresetConfig::ranks)
                    .orElse(List.of())) {
                if (rankLimits.rank().equals(rank) && rankLimits.deadlineMs() > 0) {
                    deadlineMs = rankLimits.deadlineMs();
                }
            }
        }
        return Math.min(deadlineMs, limits.requestTimeoutMs());
    }

    private void runAttempts(Call call) throws IOException {
        Set<Incarnation> excluded = Set.of();
        Problem firstUncertain = null;
        for (int number = 1; ; number++) {
            AttemptResult result = attempt(call, excluded);
            if (result.attempt() instanceof Attempt.Responded) {
                return;
            }
            Problem problem = ((Attempt.Failed) result.attempt()).problem();
            if (firstUncertain == null && problem.outcome() != Outcome.NOT_RUN) {
                firstUncertain = problem;
            }
            RetryDecision decision = retry(call, result, problem, number, excluded);
            if (!(decision instanceof RetryDecision.Retry)) {
                // If an earlier attempt may have run, the caller must not receive the refusal of a later one.
                refuse(call.inbound(), firstUncertain == null ? problem : firstUncertain);
                return;
            }
            metrics.recordRetry();
            excluded = ((RetryDecision.Retry) decision).excluded();
            waitBeforeRetry(((RetryDecision.Retry) decision).delayNs());
        }
    }

    private RetryDecision retry(
            Call call, AttemptResult result, Problem problem, int number, Set<Incarnation> excluded) {
        Optional<RefusalKind> kind = Routing.refusalKindOf(problem.type());
        if (kind.isEmpty() || !call.prefix().isRetryable()) {
            return new RetryDecision.NoRetry(RetryDecision.Reason.FINAL);
        }
        if (problem.outcome() != Outcome.NOT_RUN && !call.idempotent()) {
            return new RetryDecision.NoRetry(RetryDecision.Reason.MAY_HAVE_RUN);
        }
        return routing.retry(new FailedAttempt(
                call.idempotent(),
                kind.get(),
                problem.retryAfterMs(),
                number,
                result.target(),
                excluded,
                call.deadlineNs()));
    }

    private AttemptResult attempt(Call call, Set<Incarnation> excluded) throws IOException {
        Generation generation = currentGeneration.get().orElse(null);
        ClusterState state = states.get().orElse(null);
        if (generation == null || state == null) {
            return new AttemptResult(null, failed(RefusalKind.NO_LEASE, "the companion restarts"));
        }
        long digest = call.prefix().digest(call.head());
        RouteDecision decision = routing.route(
                new IngressRequest(
                        call.head().service(),
                        call.head().key(),
                        call.head().idempotencyKey(),
                        call.head().customer(),
                        call.rank(),
                        call.deadlineNs(),
                        digest,
                        excluded),
                state,
                generation.incarnation());
        if (decision instanceof RouteDecision.Refused refused) {
            return new AttemptResult(null, new Attempt.Failed(Problem.of(refused.refusal()), false));
        }
        if (decision instanceof RouteDecision.Local local) {
            return send(call, generation, state, generation.incarnation(), gateRequest(call, local.slot(), digest));
        }
        RouteDecision.Remote remoteDecision = (RouteDecision.Remote) decision;
        return send(call, generation, state, remoteDecision.target(), gateRequest(call, remoteDecision.slot(), digest));
    }

    private AttemptResult send(
            Call call, Generation generation, ClusterState state, Incarnation target, GateRequest gate)
            throws IOException {
        GatedRequest request = new GatedRequest(
                call.head(), gate, call.prefix().body(), call.inbound().sink());
        tracker.requestStarted(target);
        try {
            Attempt attempt = target.equals(generation.incarnation())
                    ? local(generation, request)
                    : remoteCall.call(
                            request,
                            directory.tcp(state.session(target).orElseThrow()),
                            head -> routing.recordReport(target, head));
            recordResult(attempt, target, state);
            return new AttemptResult(target, attempt);
        } finally {
            tracker.requestEnded(target);
        }
    }

    private Attempt local(Generation generation, GatedRequest request) throws IOException {
        Attempt attempt = generation.serve(request);
        if (attempt instanceof Attempt.Failed) {
            routing.suspicionsReceived(
                    generation.gate().suspicions(request.gate().fingerprint()));
        }
        return attempt;
    }

    private void recordResult(Attempt attempt, Incarnation target, ClusterState state) {
        if (attempt instanceof Attempt.Failed failed && failed.unreachable()) {
            tracker.markSuspected(target);
            return;
        }
        tracker.responseReceived(target);
        if (attempt instanceof Attempt.Responded responded && responded.complete()) {
            routing.recordSuccess(state);
        }
    }

    private GateRequest gateRequest(Call call, SlotId slot, long digest) {
        return new GateRequest(
                call.head().id(),
                call.head().service(),
                slot,
                call.head().customer(),
                call.rank(),
                call.idempotent(),
                call.head().idempotencyKey(),
                call.head().generatedKey(),
                digest,
                call.deadlineNs(),
                digest,
                routing.suspicions(digest));
    }

    private static Attempt failed(RefusalKind kind, String detail) {
        return new Attempt.Failed(
                Problem.of(new org.siskintiller.core.gate.GateDecision.Refusal(kind, detail, 0)), false);
    }

    private void refuse(InboundRequest inbound, Problem problem) throws IOException {
        metrics.recordRefused(problem.type());
        EventLog.log(LogEvent.REQUEST_REFUSED, inbound.head().id() + " " + problem.type() + ": " + problem.detail());
        if (!inbound.sink().started()) {
            inbound.sink().refuse(problem);
        }
    }

    private static void waitBeforeRetry(long ns) throws IOException {
        try {
            TimeUnit.NANOSECONDS.sleep(ns);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the companion stops", e);
        }
    }

    /** Request of a caller with what all its attempts share. */
    private record Call(
            InboundRequest inbound,
            RequestHead head,
            BodyPrefix prefix,
            String rank,
            boolean idempotent,
            long deadlineNs) {}

    /**
     * Result of one attempt.
     *
     * @param target companion that the request was sent to, or null if it was not sent
     */
    private record AttemptResult(Incarnation target, Attempt attempt) {}
}
