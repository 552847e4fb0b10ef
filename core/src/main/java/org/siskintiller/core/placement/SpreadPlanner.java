package org.siskintiller.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;

/** Planner that balances the number of slots per session. It ignores loads. */
public final class SpreadPlanner implements Planner {
    /** Slots that one proposal moves to sessions with fewer slots. */
    private static final int MAX_REBALANCED_SLOTS = 8;

    @Override
    public List<LogRecord> propose(ClusterState state, Incarnation self, LoadView loads, long nowNs) {
        Optional<Session> session = state.session(self);
        if (session.isEmpty()) {
            return List.of();
        }
        String service = session.get().backendServer().service();
        Optional<ServiceConfig> config = state.config().service(service);
        if (config.isEmpty()) {
            return List.of();
        }
        Plan plan = new Plan(state, config.get());
        if (plan.ownedCounts.isEmpty()) {
            return List.of();
        }
        List<AssignmentChange> changes = plan.repairs();
        String reason = "repair";
        if (changes.isEmpty()) {
            changes = plan.rebalance();
            reason = "balance";
        }
        return changes.isEmpty() ? List.of() : List.of(new LogRecord.SlotsAssigned(service, changes, self, reason));
    }

    /** Working state of one proposal. */
    private static final class Plan {
        private final ClusterState state;
        private final ServiceConfig config;
        private final Map<Incarnation, Integer> ownedCounts = new LinkedHashMap<>();
        private final Map<Incarnation, Integer> standbyCounts = new LinkedHashMap<>();
        private final Map<Incarnation, String> failureDomains = new LinkedHashMap<>();

        Plan(ClusterState state, ServiceConfig config) {
            this.state = state;
            this.config = config;
            for (Incarnation incarnation : state.sessionsOf(config.name())) {
                Session session = state.session(incarnation).orElseThrow();
                if (!session.draining()) {
                    ownedCounts.put(incarnation, 0);
                    standbyCounts.put(incarnation, 0);
                    failureDomains.put(incarnation, session.failureDomain());
                }
            }
            for (int slot = 0; slot < config.slots(); slot++) {
                List<Incarnation> candidates =
                        state.assignment(config.name(), slot).candidates();
                for (int i = 0; i < candidates.size(); i++) {
                    (i == 0 ? ownedCounts : standbyCounts)
                            .computeIfPresent(candidates.get(i), (key, count) -> count + 1);
                }
            }
        }

        List<AssignmentChange> repairs() {
            int standbys = Math.min(config.standbys(), ownedCounts.size() - 1);
            List<AssignmentChange> changes = new ArrayList<>();
            for (int slot = 0; slot < config.slots(); slot++) {
                Assignment current = state.assignment(config.name(), slot);
                List<Incarnation> candidates = usable(current);
                boolean ownerUsable = !candidates.isEmpty()
                        && candidates.get(0).equals(current.candidates().get(0));
                if (ownerUsable && candidates.size() == 1 + standbys && isComplete(current)) {
                    continue;
                }
                if (ownerUsable && candidates.size() > standbys) {
                    continue;
                }
                changes.add(new AssignmentChange(slot, current.version(), complete(candidates, standbys)));
            }
            return changes;
        }

        List<AssignmentChange> rebalance() {
            int standbys = Math.min(config.standbys(), ownedCounts.size() - 1);
            List<AssignmentChange> changes = new ArrayList<>();
            for (int slot = 0; slot < config.slots() && changes.size() < MAX_REBALANCED_SLOTS; slot++) {
                Assignment current = state.assignment(config.name(), slot);
                if (current.activatedBy() == null || !current.predecessors().isEmpty()) {
                    continue;
                }
                Incarnation from = current.candidates().get(0);
                Incarnation to = withFewestSlots(ownedCounts, Set.of(), Set.of());
                if (ownedCounts.getOrDefault(from, 0) < ownedCounts.get(to) + 2) {
                    continue;
                }
                ownedCounts.merge(from, -1, Integer::sum);
                List<Incarnation> candidates = new ArrayList<>(List.of(to));
                ownedCounts.merge(to, 1, Integer::sum);
                changes.add(new AssignmentChange(slot, current.version(), complete(candidates, standbys)));
            }
            return changes;
        }

        private boolean isComplete(Assignment current) {
            return usable(current).size() == current.candidates().size();
        }

        private List<Incarnation> usable(Assignment current) {
            List<Incarnation> candidates = new ArrayList<>();
            for (Incarnation candidate : current.candidates()) {
                if (ownedCounts.containsKey(candidate)) {
                    candidates.add(candidate);
                }
            }
            return candidates;
        }

        private List<Incarnation> complete(List<Incarnation> candidates, int standbys) {
            List<Incarnation> chosen = new ArrayList<>(candidates);
            if (chosen.isEmpty()) {
                chosen.add(withFewestSlots(ownedCounts, Set.of(), Set.of()));
                ownedCounts.merge(chosen.get(0), 1, Integer::sum);
            }
            while (chosen.size() < 1 + standbys) {
                Set<String> usedDomains = new HashSet<>();
                chosen.forEach(candidate -> usedDomains.add(failureDomains.get(candidate)));
                Incarnation next = withFewestSlots(standbyCounts, new HashSet<>(chosen), usedDomains);
                chosen.add(next);
                standbyCounts.merge(next, 1, Integer::sum);
            }
            return chosen;
        }

        /** Returns the session with the fewest slots, in a failure domain that is not used yet if there is one. */
        private Incarnation withFewestSlots(
                Map<Incarnation, Integer> counts, Set<Incarnation> excluded, Set<String> usedDomains) {
            Incarnation best = null;
            boolean bestInNewDomain = false;
            for (Map.Entry<Incarnation, Integer> entry : counts.entrySet()) {
                if (excluded.contains(entry.getKey())) {
                    continue;
                }
                boolean inNewDomain = !usedDomains.contains(failureDomains.get(entry.getKey()));
                if (best == null
                        || inNewDomain && !bestInNewDomain
                        || inNewDomain == bestInNewDomain && entry.getValue() < counts.get(best)) {
                    best = entry.getKey();
                    bestInNewDomain = inNewDomain;
                }
            }
            return best;
        }
    }
}
