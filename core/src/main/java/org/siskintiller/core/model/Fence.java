package org.siskintiller.core.model;

/** Fencing token of a slot, ordered by version, then by candidate. Later owners have greater tokens. */
public record Fence(long version, int candidateIndex) implements Comparable<Fence> {

    @Override
    public int compareTo(Fence other) {
        int byVersion = Long.compare(version, other.version);
        return byVersion != 0 ? byVersion : Integer.compare(candidateIndex, other.candidateIndex);
    }
}
