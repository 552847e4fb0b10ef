package org.siskintiller.ctl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.StateImage.RemovedCustomer;
import org.siskintiller.core.replay.ClusterState;

/**
 * Collects the evidence that a customer's traffic has stopped: for every session that was open at or after the offset
 * of the removal, its confirmation or its end. A session that opens after the removal has applied it before it serves
 * and confirms all the same.
 */
final class DepartureCheck implements RecordVisitor {
    private final String customer;
    private final SessionNames names;
    private final Map<Incarnation, Long> confirmationOffsets = new HashMap<>();

    DepartureCheck(String customer, SessionNames names) {
        this.customer = customer;
        this.names = names;
    }

    @Override
    public void visit(ReplayedRecord replayed) {
        if (!replayed.accepted()) {
            return;
        }
        LogRecord record = replayed.entry().record();
        if (record instanceof LogRecord.CustomerRemoved removed
                && removed.customer().equals(customer)) {
            // Confirmations of an earlier removal prove nothing about this one.
            confirmationOffsets.clear();
        } else if (record instanceof LogRecord.DepartureConfirmed confirmed
                && confirmed.customer().equals(customer)) {
            confirmationOffsets.putIfAbsent(
                    confirmed.incarnation(), replayed.entry().offset());
        }
    }

    /** Evaluates the state at the tail of the log; empty when the customer is not removed. */
    Optional<DepartureProof> evaluate(ClusterState state) {
        return state.removedCustomer(customer).map(removal -> proof(state, removal));
    }

    private DepartureProof proof(ClusterState state, RemovedCustomer removal) {
        List<DepartureProof.Finding> findings = new ArrayList<>();
        state.forEachOpenSession(session -> findings.add(open(state, session, removal)));
        state.forEachEndedSession(end -> {
            if (end.endedOffset() <= removal.removalOffset()) {
                return;
            }
            DepartureProof.Kind kind = end.endedBy() == null ? DepartureProof.Kind.CLOSED : DepartureProof.Kind.ENDED;
            findings.add(finding(state, end.incarnation(), kind, end.endedOffset()));
        });
        findings.sort(Comparator.comparing(DepartureProof.Finding::name));
        return new DepartureProof(customer, removal.removalOffset(), findings);
    }

    private DepartureProof.Finding open(ClusterState state, Session session, RemovedCustomer removal) {
        Incarnation incarnation = session.incarnation();
        if (!removal.confirmed().contains(incarnation)) {
            return finding(state, incarnation, DepartureProof.Kind.MISSING, -1);
        }
        long offset = confirmationOffsets.getOrDefault(incarnation, -1L);
        return finding(state, incarnation, DepartureProof.Kind.CONFIRMED, offset);
    }

    private DepartureProof.Finding finding(
            ClusterState state, Incarnation incarnation, DepartureProof.Kind kind, long offset) {
        String service = names.session(state, incarnation)
                .map(session -> session.backendServer().service())
                .orElse("-");
        return new DepartureProof.Finding(incarnation, names.name(state, incarnation), service, kind, offset);
    }
}
