package org.siskintiller.core.evacuation;

import java.util.Objects;

/**
 * State of a failure domain by a record of the operator.
 *
 * @param active whether the record is in force; false if it has no value or is absent
 * @param offset offset of the record, or the last offset of the read in which it is absent
 */
public record Evacuation(String domain, boolean active, long offset) {

    public Evacuation {
        Objects.requireNonNull(domain, "domain");
    }

    /** Whether this state replaces the other one. At the same offset the end of the evacuation does. */
    boolean isNewerThan(Evacuation other) {
        return offset > other.offset || offset == other.offset && other.active && !active;
    }
}
