package org.siskintiller.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;

/**
 * Moves slots from members above their target to members below it, the move with the largest gain first. It starts
 * when the imbalance exceeds the upper limit and stops below the lower one, so that noise in the loads moves nothing.
 */
final class BalanceStep implements PlanStep {
    /** A move must bring the two members closer to their targets by this much, or it is not worth its churn. */
    private static final double MIN_GAIN = 0.004;

    /** Weight of load that a move takes from a member beyond its excess. */
    private static final double UNDERSHOOT_WEIGHT = 3;

    private final double upperLimit;
    private final double lowerLimit;
    private boolean active;

    /** Limits are relative loads; 1 is the target. */
    BalanceStep(double upperLimit, double lowerLimit) {
        this.upperLimit = upperLimit;
        this.lowerLimit = lowerLimit;
    }

    /** Step with the same progress but other limits. */
    BalanceStep withLimits(double newUpperLimit, double newLowerLimit) {
        BalanceStep step = new BalanceStep(newUpperLimit, newLowerLimit);
        step.active = active;
        return step;
    }

    @Override
    public String reason() {
        return "balance";
    }

    @Override
    public List<AssignmentChange> plan(ServiceLayout layout, int maxChanges) {
        List<AssignmentChange> changes = new ArrayList<>();
        boolean[] fixed = new boolean[layout.memberCount()];
        List<List<Integer>> movable = movableSlots(layout);
        while (changes.size() < maxChanges) {
            int from = mostLoaded(layout, fixed);
            if (from < 0 || layout.relativeLoad(from) <= (active ? lowerLimit : upperLimit)) {
                active = from >= 0 && active && !changes.isEmpty();
                break;
            }
            active = true;
            Move move = bestMove(layout, from, movable.get(from));
            if (move == null) {
                fixed[from] = true;
                continue;
            }
            movable.get(from).remove((Integer) move.slot);
            changes.add(layout.replace(move.slot, candidates(layout, move)));
        }
        return changes;
    }

    private static List<List<Integer>> movableSlots(ServiceLayout layout) {
        List<List<Integer>> movable = new ArrayList<>();
        for (int member = 0; member < layout.memberCount(); member++) {
            movable.add(new ArrayList<>());
        }
        for (int slot = 0; slot < layout.slotCount(); slot++) {
            if (layout.owner(slot) >= 0 && layout.isSettled(slot)) {
                movable.get(layout.owner(slot)).add(slot);
            }
        }
        return movable;
    }

    private static int mostLoaded(ServiceLayout layout, boolean[] fixed) {
        int most = -1;
        for (int i = 0; i < layout.memberCount(); i++) {
            if (!fixed[i] && (most < 0 || layout.relativeLoad(i) > layout.relativeLoad(most))) {
                most = i;
            }
        }
        return most;
    }

    private static Move bestMove(ServiceLayout layout, int from, List<Integer> slots) {
        int least = leastLoaded(layout, from);
        if (least < 0) {
            return null;
        }
        Move best = null;
        for (int slot : slots) {
            best = better(best, moveOf(layout, from, least, slot));
        }
        return best != null && best.gain >= MIN_GAIN ? best : null;
    }

    /** While a member joins, slots move only to joining members: others would have to move again when it is done. */
    private static int leastLoaded(ServiceLayout layout, int from) {
        boolean joining = hasJoiningMember(layout);
        int least = -1;
        for (int i = 0; i < layout.memberCount(); i++) {
            if (joining && !layout.isJoining(i)) {
                continue;
            }
            if (i != from && (least < 0 || layout.relativeLoad(i) < layout.relativeLoad(least))) {
                least = i;
            }
        }
        return least;
    }

    private static boolean hasJoiningMember(ServiceLayout layout) {
        for (int i = 0; i < layout.memberCount(); i++) {
            if (layout.isJoining(i)) {
                return true;
            }
        }
        return false;
    }

    private static Move moveOf(ServiceLayout layout, int from, int to, int slot) {
        double load = layout.slotLoad(slot);
        double before = distance(layout.relativeLoad(from), UNDERSHOOT_WEIGHT) + distance(layout.relativeLoad(to), 1);
        double after = distance(layout.relativeLoadWith(from, -load), UNDERSHOOT_WEIGHT)
                + distance(layout.relativeLoadWith(to, load), 1);
        return new Move(slot, to, before - after);
    }

    /** Distance from the target. A move that takes a member below it counts more, since others must follow. */
    private static double distance(double relativeLoad, double weightBelow) {
        return relativeLoad >= 1 ? relativeLoad - 1 : (1 - relativeLoad) * weightBelow;
    }

    private static Move better(Move best, Move move) {
        return best == null || move.gain > best.gain ? move : best;
    }

    /** The former owner becomes the first standby: it has the slot's request records and warm state. */
    private static List<Incarnation> candidates(ServiceLayout layout, Move move) {
        List<Incarnation> candidates = new ArrayList<>();
        candidates.add(layout.incarnation(move.to));
        Incarnation former = layout.incarnation(layout.owner(move.slot));
        if (!layout.failureDomain(layout.indexOf(former)).equals(layout.failureDomain(move.to))) {
            candidates.add(former);
        }
        return candidates;
    }

    private record Move(int slot, int to, double gain) {}
}
