package org.siskintiller.core.model;

/** Random id of one run of a companion process. A restarted process has a new incarnation. */
public record Incarnation(long id) implements Comparable<Incarnation> {

    @Override
    public int compareTo(Incarnation other) {
        return Long.compareUnsigned(id, other.id);
    }

    @Override
    public String toString() {
        return String.format("%016x", id);
    }
}
