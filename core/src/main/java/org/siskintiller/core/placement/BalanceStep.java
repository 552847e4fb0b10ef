package org.siskintiller.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;

/**
 * Moves slots from members above their target to members below it, the move with the largest gain first. Moves start
 * when the imbalance exceeds the upper limit and stop below the lower one, so that noise in the loads moves no slots.
 */
final class BalanceStep implements PlanStep {
    /** Sum by which a move must bring the two members closer to their targets, to justify its churn. */
    private static final double MIN_GAIN = 0.004;

    /** Weight of the load below target at the member that a slot is moved from. */
    private static final double UNDERSHOOT_WEIGHT = 3;

    private final double upperLimit;
    private final double lowerLimit;
    private boolean balancing;

    /** Creates a step. The limits are loads relative to the target. */
    BalanceStep(double upperLimit, double lowerLimit) {
        this.upperLimit = upperLimit;
        this.lowerLimit = lowerLimit;
    }

    /** Returns a step with other limits that continues a balancing in progress. */
    BalanceStep withLimits(double newUpperLimit, double newLowerLimit) {
        BalanceStep step = new BalanceStep(newUpperLimit, newLowerLimit);
        step.balancing = balancing;
        return step;
    }

    @Override
    public String reason() {
        return "balance";
    }

    @Override
    public List<AssignmentChange> plan(ServiceLayout layout, int maxChanges) {
        List<AssignmentChange> changes = new ArrayList<>();
        boolean[] excluded = new boolean[layout.memberCount()];
        List<List<Integer>> movable = movableSlots(layout);
        while (changes.size() < maxChanges) {
            int from = mostLoadedMember(layout, excluded);
            if (from < 0 || layout.relativeLoad(from) <= (balancing ? lowerLimit : upperLimit)) {
                balancing = from >= 0 && balancing && !changes.isEmpty();
                break;
            }
            balancing = true;
            Move move = bestMove(layout, from, movable.get(from));
            if (move == null) {
                excluded[from] = true;
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

    private static int mostLoadedMember(ServiceLayout layout, boolean[] excluded) {
        int mostLoaded = -1;
        for (int i = 0; i < layout.memberCount(); i++) {
            if (!excluded[i] && (mostLoaded < 0 || layout.relativeLoad(i) > layout.relativeLoad(mostLoaded))) {
                mostLoaded = i;
            }
        }
        return mostLoaded;
    }

    private static Move bestMove(ServiceLayout layout, int from, List<Integer> slots) {
        int leastLoaded = leastLoadedMember(layout, from);
        if (leastLoaded < 0) {
            return null;
        }
        Move best = null;
        for (int slot : slots) {
            best = largerGain(best, moveOf(layout, from, leastLoaded, slot));
        }
        return best != null && best.gain >= MIN_GAIN ? best : null;
    }

    /** While a member joins, slots move only to joining members: elsewhere they would have to move again afterwards. */
    private static int leastLoadedMember(ServiceLayout layout, int from) {
        boolean joining = hasJoiningMember(layout);
        int leastLoaded = -1;
        for (int i = 0; i < layout.memberCount(); i++) {
            if (joining && !layout.isJoining(i)) {
                continue;
            }
            if (i != from && (leastLoaded < 0 || layout.relativeLoad(i) < layout.relativeLoad(leastLoaded))) {
                leastLoaded = i;
            }
        }
        return leastLoaded;
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

    /** Distance from the target. A load below it counts more at the source of a move, as it causes further moves. */
    private static double distance(double relativeLoad, double weightBelow) {
        return relativeLoad >= 1 ? relativeLoad - 1 : (1 - relativeLoad) * weightBelow;
    }

    private static Move largerGain(Move best, Move move) {
        return best == null || move.gain > best.gain ? move : best;
    }

    /** The former owner becomes the first standby, since it has the slot's request records and warm state. */
    private static List<Incarnation> candidates(ServiceLayout layout, Move move) {
        List<Incarnation> candidates = new ArrayList<>();
        candidates.add(layout.incarnation(move.to));
        Incarnation formerOwner = layout.incarnation(layout.owner(move.slot));
        if (!layout.failureDomain(layout.indexOf(formerOwner)).equals(layout.failureDomain(move.to))) {
            candidates.add(formerOwner);
        }
        return candidates;
    }

    private record Move(int slot, int to, double gain) {}
}
