package org.siskintiller.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;

/** Planner that assigns slots by measured load and weighs imbalance against churn. */
public final class BalancedPlanner implements Planner {
    /** Keeps one record well below the size limit of the log. */
    private static final int MAX_CHANGES_PER_RECORD = 512;

    private static final long NS_PER_MINUTE = 60_000_000_000L;
    /** Time in which the target of a joining session rises to its full share. */
    private static final long WARM_UP_NS = 30_000_000_000L;

    /** Leaves time after the last step of the warm-up for the moves that it causes. */
    private static final long JOIN_PERIOD_NS = 45_000_000_000L;

    private static final int WARM_UP_STEPS = 4;
    /** Largest upper limit: leaves a margin below the required maximum imbalance of 1.10. */
    private static final double MAX_UPPER_EXCESS = 0.09;

    private static final double MIN_UPPER_EXCESS = 0.06;
    /** A smaller share moves more slots between members that were balanced before a join or loss. */
    private static final double LOWER_LIMIT_SHARE = 0.9;

    private static final int DEFAULT_MOVES_PER_MINUTE = 60;

    private final PlanStep repair = new RepairStep();
    private BalanceStep balance = new BalanceStep(1 + MAX_UPPER_EXCESS, 1 + MAX_UPPER_EXCESS * LOWER_LIMIT_SHARE);
    private final Map<Incarnation, Long> firstSeenNs = new HashMap<>();
    private boolean initialised;
    private double moveTokens = -1;
    private long tokensRefilledNs;

    @Override
    public List<LogRecord> propose(ClusterState state, Incarnation self, LoadView loads, long nowNs) {
        Optional<Session> session = state.session(self);
        if (session.isEmpty()) {
            return List.of();
        }
        String name = session.get().backendServer().service();
        Optional<ServiceConfig> service = state.config().service(name);
        if (service.isEmpty()) {
            return List.of();
        }
        List<Member> members = members(state, name, nowNs);
        if (members.isEmpty()) {
            return List.of();
        }
        Optional<PresetConfig> preset = state.config().preset(state.config().activePreset());
        refillTokens(preset, nowNs);
        updateLimits(preset);
        ServiceLayout layout = new ServiceLayout(state, service.get(), members, loads);
        List<AssignmentChange> changes = repair.plan(layout, MAX_CHANGES_PER_RECORD);
        if (!changes.isEmpty()) {
            return List.of(new LogRecord.SlotsAssigned(name, changes, self, repair.reason()));
        }
        changes = balance.plan(layout, Math.min((int) moveTokens, MAX_CHANGES_PER_RECORD));
        moveTokens -= changes.size();
        if (changes.isEmpty()) {
            return List.of();
        }
        return List.of(new LogRecord.SlotsAssigned(name, changes, self, balance.reason()));
    }

    private List<Member> members(ClusterState state, String service, long nowNs) {
        List<Incarnation> sessions = state.sessionsOf(service);
        firstSeenNs.keySet().retainAll(sessions);
        List<Member> members = new ArrayList<>();
        for (Incarnation incarnation : sessions) {
            Session session = state.session(incarnation).orElseThrow();
            if (session.draining()) {
                continue;
            }
            long sessionSeenNs =
                    firstSeenNs.computeIfAbsent(incarnation, key -> initialised ? nowNs : nowNs - JOIN_PERIOD_NS);
            long ageNs = nowNs - sessionSeenNs;
            double weight = session.backendServer().concurrency() * warmUpShare(ageNs);
            members.add(new Member(incarnation, session.failureDomain(), weight, ageNs < JOIN_PERIOD_NS));
        }
        initialised = initialised || !members.isEmpty();
        return members;
    }

    /** Share of the full weight. It rises in steps, since a continuous rise would move slots all the time. */
    private static double warmUpShare(long ageNs) {
        long step = Math.min(WARM_UP_STEPS, 1 + ageNs * WARM_UP_STEPS / WARM_UP_NS);
        return (double) step / WARM_UP_STEPS;
    }

    private void refillTokens(Optional<PresetConfig> preset, long nowNs) {
        int perMinute = preset.map(PresetConfig::maxMovesPerMinute).orElse(DEFAULT_MOVES_PER_MINUTE);
        if (moveTokens < 0) {
            moveTokens = perMinute;
            tokensRefilledNs = nowNs;
            return;
        }
        moveTokens = Math.min(perMinute, moveTokens + (double) (nowNs - tokensRefilledNs) / NS_PER_MINUTE * perMinute);
        tokensRefilledNs = nowNs;
    }

    /** A higher weight of churn relative to unavailability accepts more imbalance before slots move. */
    private void updateLimits(Optional<PresetConfig> preset) {
        double churn = preset.map(PresetConfig::weightChurn).orElse(1.0);
        double unavailable = preset.map(PresetConfig::weightUnavailable).orElse(1.0);
        double share = churn + unavailable <= 0 ? 0.5 : churn / (churn + unavailable);
        double excess = MIN_UPPER_EXCESS + (MAX_UPPER_EXCESS - MIN_UPPER_EXCESS) * share;
        balance = balance.withLimits(1 + excess, 1 + excess * LOWER_LIMIT_SHARE);
    }
}
