package org.siskintiller.core.placement;

import java.util.List;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.replay.ClusterState;

/** Proposes assignments for the service of one session. */
public interface Planner {

    /** Returns the records to append, or an empty list when nothing needs to change. */
    List<LogRecord> propose(ClusterState state, Incarnation self, LoadView loads, long nowNs);
}
