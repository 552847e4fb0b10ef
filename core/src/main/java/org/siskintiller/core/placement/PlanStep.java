package org.siskintiller.core.placement;

import java.util.List;

import org.siskintiller.core.model.AssignmentChange;

/** One kind of change that the planner considers. */
interface PlanStep {

    /** Reason that the log records for the changes of this step. */
    String reason();

    /** Returns at most maxChanges changes, or an empty list when the step has nothing to do. */
    List<AssignmentChange> plan(ServiceLayout layout, int maxChanges);
}
