package org.siskintiller.core.model;

import java.util.ArrayList;
import java.util.List;

/** Complete replayed state, as a snapshot record stores it. Lists are in a canonical order. */
public record StateImage(
        long appliedOffset,
        long configVersion,
        ClusterConfig config,
        List<Session> openSessions,
        List<EndedSession> endedSessions,
        List<SlotAssignment> slots,
        List<HotKeyAssignment> hotKeys,
        List<RemovedCustomer> removedCustomers,
        List<AppliedOperation> operations) {

    public StateImage {
        openSessions = List.copyOf(openSessions);
        endedSessions = List.copyOf(endedSessions);
        slots = List.copyOf(slots);
        hotKeys = List.copyOf(hotKeys);
        removedCustomers = List.copyOf(removedCustomers);
        operations = List.copyOf(operations);
    }

    /** Session that ended or closed, with the offset of that record. endedBy is null after a graceful close. */
    public record EndedSession(Incarnation incarnation, long endedOffset, Incarnation endedBy) {}

    /** Assignment of one slot. */
    public record SlotAssignment(SlotId slot, Assignment assignment) {}

    /** Assignment of one hot key. */
    public record HotKeyAssignment(String service, String key, Assignment assignment) {}

    /** Removed customer with the offset of the removal and the sessions that confirmed it. */
    public record RemovedCustomer(String customer, long removalOffset, List<Incarnation> confirmed) {
        public RemovedCustomer {
            confirmed = List.copyOf(confirmed);
        }

        /** Returns this entry with the confirmation of a session added. */
        public RemovedCustomer confirmedBy(Incarnation session) {
            if (confirmed.contains(session)) {
                return this;
            }
            List<Incarnation> sessions = new ArrayList<>(confirmed);
            sessions.add(session);
            return new RemovedCustomer(customer, removalOffset, sessions);
        }
    }

    /** Operation id and offset of an applied record. */
    public record AppliedOperation(OperationId id, long offset) {}
}
