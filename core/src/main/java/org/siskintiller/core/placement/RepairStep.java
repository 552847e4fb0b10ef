package org.siskintiller.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;

/** Replaces candidates that ended or drain and fills missing standbys. Moves nothing else. */
final class RepairStep implements PlanStep {

    @Override
    public String reason() {
        return "repair";
    }

    @Override
    public List<AssignmentChange> plan(ServiceLayout layout, int maxChanges) {
        List<AssignmentChange> changes = new ArrayList<>();
        int wanted = Math.min(layout.memberCount(), 1 + layout.service().standbys());
        for (int slot = 0; slot < layout.slotCount() && changes.size() < maxChanges; slot++) {
            List<Incarnation> usable = layout.usable(slot);
            boolean complete = usable.size() >= wanted
                    && usable.size() == layout.current(slot).candidates().size();
            if (complete && !layout.hasMisplacedStandby(usable)) {
                continue;
            }
            boolean misplaced = layout.hasMisplacedStandby(usable);
            changes.add(layout.replace(slot, misplaced ? usable.subList(0, 1) : usable));
        }
        return changes;
    }
}
