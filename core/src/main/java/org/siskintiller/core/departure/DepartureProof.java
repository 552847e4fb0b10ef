package org.siskintiller.core.departure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.StateImage.RemovedCustomer;
import org.siskintiller.core.replay.ClusterState;

/**
 * Proof that the traffic of a removed customer has stopped: each session that was open at the removal or later has
 * confirmed the removal or ended.
 *
 * @param confirmed sessions that confirmed the removal
 * @param ended sessions that ended after the removal without a confirmation
 * @param missing open sessions that have not confirmed
 */
public record DepartureProof(
        String customer,
        long removalOffset,
        List<Incarnation> confirmed,
        List<Incarnation> ended,
        List<Incarnation> missing) {

    public DepartureProof {
        confirmed = List.copyOf(confirmed);
        ended = List.copyOf(ended);
        missing = List.copyOf(missing);
    }

    /** Collects the confirmations, or returns an empty value for a customer that was not removed. */
    public static Optional<DepartureProof> collect(ClusterState state, String customer) {
        Optional<RemovedCustomer> removed = state.removedCustomer(customer);
        if (removed.isEmpty()) {
            return Optional.empty();
        }
        Set<Incarnation> confirmed = new HashSet<>(removed.get().confirmed());
        List<Incarnation> missing = new ArrayList<>();
        List<Incarnation> ended = new ArrayList<>();
        state.forEachOpenSession(session -> {
            if (!confirmed.contains(session.incarnation())) {
                missing.add(session.incarnation());
            }
        });
        state.forEachEndedSession(endedSession -> {
            if (endedSession.endedOffset() > removed.get().removalOffset()
                    && !confirmed.contains(endedSession.incarnation())) {
                ended.add(endedSession.incarnation());
            }
        });
        Collections.sort(missing);
        Collections.sort(ended);
        return Optional.of(new DepartureProof(
                customer, removed.get().removalOffset(), removed.get().confirmed(), ended, missing));
    }

    /** Whether all open sessions have confirmed. */
    public boolean isComplete() {
        return missing.isEmpty();
    }

    /** Returns the record that stores the proof in the log. */
    public LogRecord.DepartureProved toRecord(String operator) {
        if (!isComplete()) {
            throw new IllegalStateException("no proof for customer " + customer + ": " + missing.size()
                    + " sessions have not confirmed; wait until they confirm or end");
        }
        return new LogRecord.DepartureProved(customer, removalOffset, confirmed, operator);
    }
}
