package org.siskintiller.ctl;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.model.Incarnation;

/** What the log shows about the departure of a customer. It is a proof only if nothing is missing. */
record DepartureProof(String customer, long removalOffset, List<Finding> findings) {

    DepartureProof {
        Objects.requireNonNull(customer, "customer");
        findings = List.copyOf(findings);
    }

    boolean complete() {
        return missing().isEmpty();
    }

    List<Finding> missing() {
        return findings.stream()
                .filter(finding -> finding.kind() == Kind.MISSING)
                .toList();
    }

    List<Incarnation> confirmed() {
        return findings.stream()
                .filter(finding -> finding.kind() == Kind.CONFIRMED)
                .map(Finding::incarnation)
                .toList();
    }

    /** Why a session can no longer work for the customer, or that this is not known. */
    enum Kind {
        CONFIRMED("confirmed"),
        CLOSED("closed"),
        ENDED("ended by its witnesses"),
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
