package org.siskintiller.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.replay.ClusterState;

/** Working copy of one service's assignments and loads, which the planning steps modify. */
final class ServiceLayout {
    /** Smallest load of a slot relative to the mean, so that idle slots are spread as well. */
    private static final double IDLE_SLOT_SHARE = 0.05;

    private final ServiceConfig service;
    private final List<Member> members;
    private final Map<Incarnation, Integer> indexes = new HashMap<>();
    private final Assignment[] current;
    private final double[] slotLoads;
    private final int[] owners;
    private final double[] loads;
    private final double[] targets;
    /** At [i][j]: load that member j takes over as first standby when member i is lost. */
    private final double[][] takeoverLoads;

    ServiceLayout(ClusterState state, ServiceConfig service, List<Member> members, LoadView view) {
        this.service = service;
        this.members = List.copyOf(members);
        for (int i = 0; i < members.size(); i++) {
            indexes.put(members.get(i).incarnation(), i);
        }
        current = new Assignment[service.slots()];
        slotLoads = slotLoads(service, view);
        owners = new int[service.slots()];
        loads = new double[members.size()];
        targets = targets();
        takeoverLoads = new double[members.size()][members.size()];
        for (int slot = 0; slot < service.slots(); slot++) {
            current[slot] = state.assignment(service.name(), slot);
            owners[slot] = -1;
            addLoad(slot, usableCandidates(slot));
        }
    }

    private static double[] slotLoads(ServiceConfig service, LoadView view) {
        double[] slotLoads = new double[service.slots()];
        double total = 0;
        for (int slot = 0; slot < slotLoads.length; slot++) {
            slotLoads[slot] = view.ofSlot(new SlotId(service.name(), slot));
            total += slotLoads[slot];
        }
        double idle = total == 0 ? 1 : total / slotLoads.length * IDLE_SLOT_SHARE;
        for (int slot = 0; slot < slotLoads.length; slot++) {
            slotLoads[slot] = Math.max(slotLoads[slot], idle);
        }
        return slotLoads;
    }

    private double[] targets() {
        double weights = 0;
        for (Member member : members) {
            weights += member.weight();
        }
        double total = Arrays.stream(slotLoads).sum();
        double[] result = new double[members.size()];
        for (int i = 0; i < result.length; i++) {
            result[i] = total * members.get(i).weight() / weights;
        }
        return result;
    }

    ServiceConfig service() {
        return service;
    }

    int memberCount() {
        return members.size();
    }

    int slotCount() {
        return owners.length;
    }

    Assignment current(int slot) {
        return current[slot];
    }

    double slotLoad(int slot) {
        return slotLoads[slot];
    }

    int owner(int slot) {
        return owners[slot];
    }

    /** Planned load of a member relative to its target. */
    double relativeLoad(int member) {
        return loads[member] / targets[member];
    }

    double relativeLoadWith(int member, double change) {
        return (loads[member] + change) / targets[member];
    }

    int indexOf(Incarnation incarnation) {
        return indexes.getOrDefault(incarnation, -1);
    }

    Incarnation incarnation(int member) {
        return members.get(member).incarnation();
    }

    String failureDomain(int member) {
        return members.get(member).failureDomain();
    }

    boolean isJoining(int member) {
        return members.get(member).joining();
    }

    /** Whether the owner serves the present version and all earlier owners have released the slot or ended. */
    boolean isSettled(int slot) {
        return current[slot].activatedBy() != null
                && current[slot].predecessors().isEmpty();
    }

    /** Returns the candidates of the present version that are members, in order. */
    List<Incarnation> usableCandidates(int slot) {
        List<Incarnation> usable = new ArrayList<>();
        for (Incarnation candidate : current[slot].candidates()) {
            if (indexes.containsKey(candidate)) {
                usable.add(candidate);
            }
        }
        return usable;
    }

    /** Adds the load of a slot with these candidates to the planned loads. */
    void addLoad(int slot, List<Incarnation> candidates) {
        if (candidates.isEmpty()) {
            return;
        }
        int owner = indexOf(candidates.get(0));
        owners[slot] = owner;
        loads[owner] += slotLoads[slot];
        addTakeoverLoad(candidates, slotLoads[slot]);
    }

    private void removeLoad(int slot, List<Incarnation> candidates) {
        if (candidates.isEmpty()) {
            return;
        }
        loads[indexOf(candidates.get(0))] -= slotLoads[slot];
        addTakeoverLoad(candidates, -slotLoads[slot]);
    }

    private void addTakeoverLoad(List<Incarnation> candidates, double load) {
        if (candidates.size() > 1) {
            takeoverLoads[indexOf(candidates.get(0))][indexOf(candidates.get(1))] += load;
        }
    }

    /** Replaces the candidates of a slot with the given ones and adds missing standbys. */
    AssignmentChange replace(int slot, List<Incarnation> candidates) {
        removeLoad(slot, usableCandidates(slot));
        List<Incarnation> chosen = new ArrayList<>(candidates);
        if (chosen.isEmpty()) {
            chosen.add(incarnation(leastLoaded(slotLoads[slot])));
        }
        int candidateCount = Math.min(members.size(), 1 + service.standbys());
        while (chosen.size() < candidateCount) {
            chosen.add(incarnation(bestStandby(slot, chosen)));
        }
        addLoad(slot, chosen);
        return new AssignmentChange(slot, current[slot].version(), chosen.subList(0, candidateCount));
    }

    private int leastLoaded(double load) {
        int best = 0;
        for (int i = 1; i < members.size(); i++) {
            if (relativeLoadWith(i, load) < relativeLoadWith(best, load)) {
                best = i;
            }
        }
        return best;
    }

    /**
     * Returns the member that would have the least relative load after the owner's loss, in a failure domain that the
     * slot doesn't use yet if there is one.
     */
    private int bestStandby(int slot, List<Incarnation> chosen) {
        Set<String> usedDomains = new HashSet<>();
        chosen.forEach(candidate -> usedDomains.add(failureDomain(indexOf(candidate))));
        int owner = indexOf(chosen.get(0));
        int best = -1;
        boolean bestInNewDomain = false;
        for (int i = 0; i < members.size(); i++) {
            if (chosen.contains(incarnation(i))) {
                continue;
            }
            boolean inNewDomain = !usedDomains.contains(failureDomain(i));
            if (best < 0
                    || inNewDomain && !bestInNewDomain
                    || inNewDomain == bestInNewDomain
                            && relativeLoadAfterLoss(owner, i) < relativeLoadAfterLoss(owner, best)) {
                best = i;
                bestInNewDomain = inNewDomain;
            }
        }
        return best;
    }

    /** Estimated load of a member relative to its target if the owner were lost. */
    private double relativeLoadAfterLoss(int owner, int member) {
        return (loads[member] + takeoverLoads[owner][member] * members.size()) / targets[member];
    }

    /** Whether the first standby is in the owner's failure domain although another domain has members. */
    boolean hasMisplacedStandby(List<Incarnation> candidates) {
        if (candidates.size() < 2) {
            return false;
        }
        String domain = failureDomain(indexOf(candidates.get(0)));
        if (!failureDomain(indexOf(candidates.get(1))).equals(domain)) {
            return false;
        }
        for (Member member : members) {
            if (!member.failureDomain().equals(domain)) {
                return true;
            }
        }
        return false;
    }
}
