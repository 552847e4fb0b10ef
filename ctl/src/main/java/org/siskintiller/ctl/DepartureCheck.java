package org.siskintiller.ctl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.siskintiller.core.departure.DepartureProof;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.StateImage.EndedSession;
import org.siskintiller.core.replay.ClusterState;

/** Adds names and offsets to the evidence that a customer's traffic has stopped. */
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
    Optional<DepartureFindings> evaluate(ClusterState state) {
        return DepartureProof.collect(state, customer).map(proof -> toFindings(state, proof));
    }

    private DepartureFindings toFindings(ClusterState state, DepartureProof proof) {
        List<DepartureFindings.Finding> findings = new ArrayList<>();
        for (Incarnation incarnation : proof.confirmed()) {
            long offset = confirmationOffsets.getOrDefault(incarnation, -1L);
            findings.add(finding(state, incarnation, DepartureFindings.Kind.CONFIRMED, offset));
        }
        for (Incarnation incarnation : proof.ended()) {
            Optional<EndedSession> end = state.ended(incarnation);
            boolean closed = end.isPresent() && end.get().endedBy() == null;
            DepartureFindings.Kind kind = closed ? DepartureFindings.Kind.CLOSED : DepartureFindings.Kind.ENDED;
            findings.add(finding(
                    state, incarnation, kind, end.map(EndedSession::endedOffset).orElse(-1L)));
        }
        for (Incarnation incarnation : proof.missing()) {
            findings.add(finding(state, incarnation, DepartureFindings.Kind.MISSING, -1));
        }
        findings.sort(Comparator.comparing(DepartureFindings.Finding::name));
        return new DepartureFindings(proof, findings);
    }

    private DepartureFindings.Finding finding(
            ClusterState state, Incarnation incarnation, DepartureFindings.Kind kind, long offset) {
        String service = names.session(state, incarnation)
                .map(session -> session.backendServer().service())
                .orElse("-");
        return new DepartureFindings.Finding(incarnation, names.name(state, incarnation), service, kind, offset);
    }
}
