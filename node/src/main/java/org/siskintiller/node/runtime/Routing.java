package org.siskintiller.node.runtime;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.siskintiller.core.balance.PowerOfTwoChoices;
import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.ownership.KeyHash;
import org.siskintiller.core.quarantine.Quarantine;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.retry.FailedAttempt;
import org.siskintiller.core.retry.RetryBudget;
import org.siskintiller.core.retry.RetryDecision;
import org.siskintiller.core.retry.RetryPolicy;
import org.siskintiller.core.routing.FloodLimit;
import org.siskintiller.core.routing.IngressRequest;
import org.siskintiller.core.routing.RouteDecision;
import org.siskintiller.core.routing.Router;
import org.siskintiller.core.routing.RoutingTools;
import org.siskintiller.core.routing.RoutingView;
import org.siskintiller.core.routing.ServiceView;
import org.siskintiller.wire.proto.Proto;

/**
 * Router, retry policy and quarantine of the ingress under one lock. The routing view is built for each request and holds
 * only what that request needs, so a change of the cluster state causes no work by itself.
 */
final class Routing {
    private static final int DEFAULT_RETRY_PERCENT = 10;

    private final PeerTracker tracker;
    private final Quarantine quarantine = new Quarantine();
    private final FloodLimit floodLimit = new FloodLimit();
    private final RetryBudget budget = new RetryBudget(DEFAULT_RETRY_PERCENT);
    private final RetryPolicy policy;
    private final Router router;

    Routing(PeerTracker tracker, long seed) {
        this.tracker = tracker;
        SplittableRandom random = new SplittableRandom(seed);
        policy = new RetryPolicy(budget, random);
        router = new Router(new RoutingTools(KeyHash::slotOf, new PowerOfTwoChoices(), random, quarantine, floodLimit));
    }

    RouteDecision route(IngressRequest request, ClusterState state, Incarnation self) {
        RoutingView view = view(request, state, self);
        synchronized (this) {
            return router.route(request, view, Clock.nowNs());
        }
    }

    private RoutingView view(IngressRequest request, ClusterState state, Incarnation self) {
        Set<String> removed =
                state.removedCustomer(request.customer()).isPresent() ? Set.of(request.customer()) : Set.of();
        Optional<ServiceConfig> config = state.config().service(request.service());
        if (config.isEmpty()) {
            return new RoutingView(self, Map.of(), removed);
        }
        SlotId slot = slotOf(config.get(), request.key(), request.idempotencyKey());
        Map<Integer, Incarnation> owners = Map.of();
        if (slot != null) {
            owners = owner(state, slot, request.excluded())
                    .map(owner -> Map.of(slot.slot(), owner))
                    .orElse(Map.of());
        }
        ServiceView service = new ServiceView(
                config.get(),
                owners,
                Map.of(),
                slot == null ? tracker.candidates(state, request.service()) : List.of());
        return new RoutingView(self, Map.of(request.service(), service), removed);
    }

    /**
     * Returns the first candidate to try. A takeover is not recorded while the log is down, so a candidate that does not
     * respond is skipped; the next one refuses requests until it is the owner.
     */
    private Optional<Incarnation> owner(ClusterState state, SlotId slot, Set<Incarnation> excluded) {
        Incarnation fallback = null;
        for (Incarnation candidate :
                state.assignment(slot.service(), slot.slot()).candidates()) {
            if (!state.isOpen(candidate) || excluded.contains(candidate)) {
                continue;
            }
            if (!tracker.shouldSkip(candidate)) {
                return Optional.of(candidate);
            }
            fallback = fallback == null ? candidate : fallback;
        }
        return Optional.ofNullable(fallback);
    }

    private static SlotId slotOf(ServiceConfig service, String key, String idempotencyKey) {
        String hashed = service.keyed() ? key : service.idempotent() ? null : idempotencyKey;
        return hashed == null
                ? null
                : new SlotId(service.name(), KeyHash.slotOf(service.name(), hashed, service.slots()));
    }

    synchronized RetryDecision retry(FailedAttempt attempt) {
        return policy.decide(attempt, Clock.nowNs());
    }

    synchronized void recordSuccess(ClusterState state) {
        state.config()
                .preset(state.config().activePreset())
                .map(PresetConfig::retryBudgetPercent)
                .ifPresent(budget::setPercent);
        budget.succeeded();
    }

    /** Suspicions to send along with a request of this fingerprint. */
    synchronized List<Suspicion> suspicions(long fingerprint) {
        return quarantine.suspicion(fingerprint, Clock.nowNs()).map(List::of).orElse(List.of());
    }

    synchronized void suspicionsReceived(List<Suspicion> suspicions) {
        quarantine.addSuspicions(suspicions, Clock.nowNs());
    }

    /** Records the load, admitted shares and suspicions that another companion reported with a response. */
    void recordReport(Incarnation from, Proto.ResponseHead head) {
        tracker.loadReported(from, head.getLoad());
        synchronized (this) {
            for (Proto.RankShare share : head.getRankSharesList()) {
                floodLimit.reportAdmittedShare(from, share.getRank(), share.getAdmittedShare(), Clock.nowNs());
            }
            quarantine.addSuspicions(RemoteCall.fromProto(head.getSuspicionsList()), Clock.nowNs());
        }
    }

    /** Returns the kind of a failed attempt for the retry policy; empty if it is never retried. */
    static Optional<RefusalKind> refusalKindOf(String problemType) {
        switch (problemType) {
            case RemoteCall.UNREACHABLE:
                // The companion is skipped for a while, so that the retry goes to another candidate of the slot.
                return Optional.of(RefusalKind.NO_LEASE);
            case RemoteCall.RESPONSE_LOST:
                return Optional.of(RefusalKind.BACKEND_FAILED);
            default:
                break;
        }
        for (RefusalKind kind : RefusalKind.values()) {
            if (kind.name().equalsIgnoreCase(problemType.replace('-', '_'))) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
