package org.siskintiller.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;

/** Replaces candidates whose sessions ended or drain, and adds missing standbys. Moves no other slots. */
final class RepairStep implements PlanStep {

    @Override
    public String reason() {
        return "repair";
    }

    @Override
    public List<AssignmentChange> plan(ServiceLayout layout, int maxChanges) {
        List<AssignmentChange> changes = new ArrayList<>();
        int candidateCount = Math.min(layout.memberCount(), 1 + layout.service().standbys());
        for (int slot = 0; slot < layout.slotCount() && changes.size() < maxChanges; slot++) {
            List<Incarnation> usableCandidates = layout.usableCandidates(slot);
            boolean complete = usableCandidates.size() >= candidateCount
                    && usableCandidates.size()
                            == layout.current(slot).candidates().size();
            if (complete && !layout.hasMisplacedStandby(usableCandidates)) {
                continue;
            }
            boolean misplaced = layout.hasMisplacedStandby(usableCandidates);
            changes.add(layout.replace(slot, misplaced ? usableCandidates.subList(0, 1) : usableCandidates));
        }
        return changes;
    }
}
