package org.siskintiller.core.placement;

import java.util.List;

import org.siskintiller.core.model.AssignmentChange;

/** Step of the planner that proposes one kind of change. */
interface PlanStep {

    /** Reason that is stored in the log with the changes of this step. */
    String reason();

    /** Returns at most maxChanges changes, or an empty list when none is needed. */
    List<AssignmentChange> plan(ServiceLayout layout, int maxChanges);
}
