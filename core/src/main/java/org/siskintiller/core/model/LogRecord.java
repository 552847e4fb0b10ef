package org.siskintiller.core.model;

import java.util.List;

/** Record of the log's control stream. A record that may conflict with a concurrent one names its base version. */
public sealed interface LogRecord {

    /** Opens a session. Its openedOffset is ignored; replay sets it to the record's offset. */
    record SessionOpened(Session session) implements LogRecord {}

    /** Replaces the witnesses of a session. */
    record WitnessesChanged(Incarnation incarnation, int baseVersion, List<Incarnation> witnesses)
            implements LogRecord {
        public WitnessesChanged {
            witnesses = List.copyOf(witnesses);
        }
    }

    /** Ends a session after its witnesses granted the claim. claimOffset is the claimant's applied offset. */
    record SessionEnded(Incarnation incarnation, Incarnation endedBy, long claimOffset) implements LogRecord {}

    /** Ends a session that its own companion closed in a graceful stop. */
    record SessionClosed(Incarnation incarnation) implements LogRecord {}

    /** Assigns slots. Each change is accepted or void independently of the others. */
    record SlotsAssigned(String service, List<AssignmentChange> changes, Incarnation proposer, String reason)
            implements LogRecord {
        public SlotsAssigned {
            changes = List.copyOf(changes);
        }
    }

    /** Reports that a session serves the slots at these versions. Replay then clears the predecessors. */
    record SlotsActivated(String service, List<SlotVersion> slots, Incarnation incarnation) implements LogRecord {
        public SlotsActivated {
            slots = List.copyOf(slots);
        }
    }

    /** Assigns hot keys separately from their slots, or returns them to their slots. */
    record HotKeysAssigned(String service, List<HotKeyChange> changes, Incarnation proposer) implements LogRecord {
        public HotKeysAssigned {
            changes = List.copyOf(changes);
        }
    }

    /** Publishes a complete configuration as version baseVersion + 1. */
    record ConfigPublished(long baseVersion, ClusterConfig config, String operator) implements LogRecord {}

    /** Switches the preset. It shares the version sequence of ConfigPublished. */
    record PresetSwitched(long baseVersion, String preset, String operator) implements LogRecord {}

    /** Removes a customer. It shares the version sequence of ConfigPublished. */
    record CustomerRemoved(long baseVersion, String customer, String operator) implements LogRecord {}

    /** Confirms that a session applied the removal and has no running or queued request of the customer. */
    record DepartureConfirmed(String customer, long removalOffset, Incarnation incarnation) implements LogRecord {}

    /** Result of an operator's departure check, kept for the audit trail. */
    record DepartureProved(String customer, long removalOffset, List<Incarnation> confirmed, String operator)
            implements LogRecord {
        public DepartureProved {
            confirmed = List.copyOf(confirmed);
        }
    }

    /** Requests the drain of a session, on behalf of an operator or of the backend server itself. */
    record DrainRequested(Incarnation incarnation, String requestedBy) implements LogRecord {}

    /** Replayed state up to and including an offset. A new companion starts from the newest snapshot. */
    record Snapshot(long throughOffset, StateImage state) implements LogRecord {}

    /** Entry of the audit trail for an action that has no record type of its own. */
    record Audited(AuditEntry entry) implements LogRecord {}
}
