package org.siskintiller.core.model;

/** Random 128-bit id that the ingress companion gives to a request. */
public record RequestId(long high, long low) {

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
