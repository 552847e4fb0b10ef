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

/** Serves callers: routes a request, passes it on, and repeats it where the retry policy allows. */
final class Ingress implements RequestHandler {
    private final Supplier<Optional<Generation>> generation;
    private final Supplier<Optional<ClusterState>> states;
    private final RemoteCall remote;
    private final PeerDirectory directory;
    private final Limits limits;
    private final NodeMetrics metrics;
    private final PeerTracker tracker = new PeerTracker();
    private final Routing routing = new Routing(tracker, Ids.seed());

    Ingress(
            Supplier<Optional<Generation>> generation,
            Supplier<Optional<ClusterState>> states,
            RemoteCall remote,
            PeerDirectory directory,
            Limits limits,
            NodeMetrics metrics) {
        this.generation = generation;
        this.states = states;
        this.remote = remote;
        this.directory = directory;
        this.limits = limits;
        this.metrics = metrics;
    }

    @Override
    public void serve(InboundRequest inbound) throws IOException {
        long startNs = Clock.nowNs();
        Optional<ClusterState> current = states.get();
        if (current.isEmpty()) {
            refuse(inbound, Problem.notRun(503, "starting", "the companion has no state yet", "retry later"));
            return;
        }
        ClusterConfig config = current.get().config();
        RequestHead head = inbound.head();
        Optional<ServiceConfig> service = config.service(head.service());
        if (head.rank() != null && config.rank(head.rank()).isEmpty()) {
            refuse(inbound, Problem.notRun(400, "unknown-rank", "no such rank", "use a published rank name"));
            return;
        }
        boolean needsKey = service.isPresent() && !service.get().idempotent() && head.idempotencyKey() == null;
        if (needsKey) {
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
        attempts(new Call(
                inbound,
                head,
                prefix,
                rank,
                service.map(ServiceConfig::idempotent).orElse(false),
                deadlineNs));
        metrics.served(rank, Clock.nowNs() - startNs);
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

    private void attempts(Call call) throws IOException {
        Set<Incarnation> excluded = Set.of();
        Problem doubtful = null;
        for (int number = 1; ; number++) {
            Sent sent = attempt(call, excluded);
            if (sent.attempt() instanceof Attempt.Responded) {
                return;
            }
            Problem problem = ((Attempt.Failed) sent.attempt()).problem();
            if (doubtful == null && problem.outcome() != Outcome.NOT_RUN) {
                doubtful = problem;
            }
            RetryDecision decision = retry(call, sent, problem, number, excluded);
            if (!(decision instanceof RetryDecision.Retry)) {
                // An earlier attempt that may have run must not be answered with the refusal of a later one.
                refuse(call.inbound(), doubtful == null ? problem : doubtful);
                return;
            }
            metrics.retried();
            excluded = ((RetryDecision.Retry) decision).excluded();
            pause(((RetryDecision.Retry) decision).delayNs());
        }
    }

    private RetryDecision retry(Call call, Sent sent, Problem problem, int number, Set<Incarnation> excluded) {
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
                sent.target(),
                excluded,
                call.deadlineNs()));
    }

    private Sent attempt(Call call, Set<Incarnation> excluded) throws IOException {
        Generation own = generation.get().orElse(null);
        ClusterState state = states.get().orElse(null);
        if (own == null || state == null) {
            return new Sent(null, failed(RefusalKind.NO_LEASE, "the companion restarts"));
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
                own.incarnation());
        if (decision instanceof RouteDecision.Refused refused) {
            return new Sent(null, new Attempt.Failed(Problem.of(refused.refusal()), false));
        }
        if (decision instanceof RouteDecision.Local local) {
            return send(call, own, state, own.incarnation(), gateRequest(call, local.slot(), digest));
        }
        RouteDecision.Remote there = (RouteDecision.Remote) decision;
        return send(call, own, state, there.target(), gateRequest(call, there.slot(), digest));
    }

    private Sent send(Call call, Generation own, ClusterState state, Incarnation target, GateRequest gate)
            throws IOException {
        GatedRequest request = new GatedRequest(
                call.head(), gate, call.prefix().body(), call.inbound().sink());
        tracker.requestStarted(target);
        try {
            Attempt attempt = target.equals(own.incarnation())
                    ? local(own, request)
                    : remote.call(
                            request,
                            directory.tcp(state.session(target).orElseThrow()),
                            head -> routing.recordReport(target, head));
            remember(attempt, target, state);
            return new Sent(target, attempt);
        } finally {
            tracker.requestEnded(target);
        }
    }

    private Attempt local(Generation own, GatedRequest request) throws IOException {
        Attempt attempt = own.serve(request);
        if (attempt instanceof Attempt.Failed) {
            routing.suspicionsReceived(own.gate().suspicions(request.gate().fingerprint()));
        }
        return attempt;
    }

    private void remember(Attempt attempt, Incarnation target, ClusterState state) {
        if (attempt instanceof Attempt.Failed failed && failed.unreachable()) {
            tracker.markSuspected(target);
            return;
        }
        tracker.responseReceived(target);
        if (attempt instanceof Attempt.Responded done && done.complete()) {
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
        metrics.refused(problem.type());
        EventLog.log(LogEvent.REQUEST_REFUSED, inbound.head().id() + " " + problem.type() + ": " + problem.detail());
        if (!inbound.sink().started()) {
            inbound.sink().refuse(problem);
        }
    }

    private static void pause(long ns) throws IOException {
        try {
            TimeUnit.NANOSECONDS.sleep(ns);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the companion stops", e);
        }
    }

    /** One request of a caller over all its attempts. */
    private record Call(
            InboundRequest inbound,
            RequestHead head,
            BodyPrefix prefix,
            String rank,
            boolean idempotent,
            long deadlineNs) {}

    /** One attempt with the companion that it went to, or null if it was not sent. */
    private record Sent(Incarnation target, Attempt attempt) {}
}
