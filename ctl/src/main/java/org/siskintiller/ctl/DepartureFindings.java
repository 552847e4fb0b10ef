package org.siskintiller.ctl;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.departure.DepartureProof;
import org.siskintiller.core.model.Incarnation;

/** Evidence about a customer's departure with the names and offsets that an operator needs. */
record DepartureFindings(DepartureProof proof, List<Finding> findings) {

    DepartureFindings {
        Objects.requireNonNull(proof, "proof");
        findings = List.copyOf(findings);
    }

    /** Evidence that a session no longer serves the customer, or its absence. */
    enum Kind {
        CONFIRMED("confirmed"),
        CLOSED("closed"),
        ENDED("ended by its witnesses or a restart"),
        MISSING("no confirmation and no end");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    /**
     * Evidence about one session that was open at or after the removal.
     *
     * @param name instance and incarnation
     * @param offset offset of the confirmation or end, -1 when it is missing or older than the replayed records
     */
    record Finding(Incarnation incarnation, String name, String service, Kind kind, long offset) {}
}
