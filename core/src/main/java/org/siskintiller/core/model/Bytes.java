package org.siskintiller.core.model;

import java.util.Arrays;

/** Immutable byte sequence with value equality. */
public final class Bytes {
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] content;

    private Bytes(byte[] content) {
        this.content = content;
    }

    public static Bytes copyOf(byte[] content) {
        return content.length == 0 ? EMPTY : new Bytes(content.clone());
    }

    public byte[] toArray() {
        return content.clone();
    }

    public int size() {
        return content.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes && Arrays.equals(content, ((Bytes) other).content);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(content);
    }

    @Override
    public String toString() {
        return "Bytes[" + content.length + "]";
    }
}
