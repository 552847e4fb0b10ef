package org.siskintiller.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.balance.Candidate;
import org.siskintiller.core.balance.PowerOfTwoChoices;
import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.quarantine.Quarantine;

import static com.google.common.truth.Truth.assertThat;

class RouterTest {
    private static final Incarnation SELF = new Incarnation(1);
    private static final Incarnation OTHER = new Incarnation(2);
    private static final long SECOND_NS = 1_000_000_000L;

    private final Quarantine quarantine = new Quarantine();
    private final FloodLimit floodLimit = new FloodLimit();
    private final Router router = new Router(new RoutingTools(
            (service, key, slots) -> Integer.parseInt(key),
            new PowerOfTwoChoices(),
            new Random(1),
            quarantine,
            floodLimit));

    /** Guards against a request that reaches a backend server which does not own its key. */
    @Test
    void routesByOwner() {
        assertThat(route("keyed", "0", null)).isEqualTo(new RouteDecision.Local(new SlotId("keyed", 0)));
        assertThat(route("keyed", "1", null)).isEqualTo(new RouteDecision.Remote(OTHER, new SlotId("keyed", 1)));
        assertThat(route("keyed", "5", null)).isEqualTo(new RouteDecision.Local(new SlotId("keyed", 5)));
        assertThat(route("desk", null, "1")).isEqualTo(new RouteDecision.Remote(OTHER, new SlotId("desk", 1)));
        assertThat(route("export", null, null)).isEqualTo(new RouteDecision.Remote(OTHER, null));
    }

    /** Guards against refusals with the wrong kind, whose remedy would mislead the caller. */
    @Test
    void refusesInOrder() {
        assertThat(refusal(route("none", "0", null))).isEqualTo(RefusalKind.UNKNOWN_SERVICE);
        assertThat(refusal(route("keyed", null, null))).isEqualTo(RefusalKind.KEY_MISSING);
        assertThat(refusal(route("keyed", "2", null))).isEqualTo(RefusalKind.OWNER_UNKNOWN);
        assertThat(refusal(route(request("keyed", "0", null, "removed", SECOND_NS, Set.of()), 0)))
                .isEqualTo(RefusalKind.CUSTOMER_REMOVED);
        assertThat(refusal(route(request("keyed", "0", null, "c", 1_000, Set.of()), 0)))
                .isEqualTo(RefusalKind.DEADLINE_TOO_SHORT);
        quarantine.recordLoss(9, SELF, 0);
        quarantine.recordLoss(9, OTHER, 0);
        assertThat(refusal(route("keyed", "0", null))).isEqualTo(RefusalKind.QUARANTINED);
    }

    /** Guards against a retry at the owner whose attempt just failed. */
    @Test
    void avoidsExcludedOwner() {
        IngressRequest retry = request("keyed", "1", null, "c", SECOND_NS, Set.of(OTHER));
        assertThat(refusal(route(retry, 0))).isEqualTo(RefusalKind.OWNER_UNKNOWN);
    }

    /** Guards against a flood that reaches the owner's companion, and against a limit that persists after the flood. */
    @Test
    void limitsFloodBeforeTheHop() {
        int forwarded = 0;
        long nowNs = 0;
        for (int i = 0; i < 100_000; i++) {
            nowNs += 100_000;
            floodLimit.reportAdmittedShare(OTHER, "bulk", 0.1, nowNs);
            IngressRequest request = request("keyed", "1", null, "c", nowNs + SECOND_NS, Set.of());
            forwarded += route(request, nowNs) instanceof RouteDecision.Remote ? 1 : 0;
        }
        assertThat(forwarded).isGreaterThan(100_000 / 200);
        assertThat(forwarded).isLessThan(100_000 / 4);
        nowNs += 4 * SECOND_NS;
        assertThat(floodLimit.admits(OTHER, "bulk", nowNs)).isTrue();
        assertThat(floodLimit.admits(OTHER, "urgent", nowNs)).isTrue();
    }

    private RouteDecision route(String service, String key, String idempotencyKey) {
        return route(request(service, key, idempotencyKey, "c", SECOND_NS, Set.of()), 0);
    }

    private RouteDecision route(IngressRequest request, long nowNs) {
        return router.route(request, view(), nowNs);
    }

    private static IngressRequest request(
            String service,
            String key,
            String idempotencyKey,
            String customer,
            long deadlineNs,
            Set<Incarnation> excluded) {
        return new IngressRequest(service, key, idempotencyKey, customer, "bulk", deadlineNs, 9, excluded);
    }

    private static RefusalKind refusal(RouteDecision decision) {
        return ((RouteDecision.Refused) decision).refusal().kind();
    }

    private static RoutingView view() {
        Map<Integer, Incarnation> owners = Map.of(0, SELF, 1, OTHER, 5, OTHER);
        List<Candidate> candidates = List.of(new Candidate(OTHER, 12, 0, 0, 0, 1, true));
        return new RoutingView(
                SELF,
                Map.of(
                        "keyed", new ServiceView(config("keyed", true, true), owners, Map.of("5", SELF), candidates),
                        "desk", new ServiceView(config("desk", false, false), owners, Map.of(), candidates),
                        "export", new ServiceView(config("export", false, true), owners, Map.of(), candidates)),
                Set.of("removed"));
    }

    private static ServiceConfig config(String name, boolean keyed, boolean idempotent) {
        return new ServiceConfig(name, keyed, idempotent, true, 8, 1, 600, "bulk", 600_000);
    }
}
