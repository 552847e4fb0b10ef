package org.siskintiller.core.keyrange;

/** Keys from {@code from} to {@code to}, both included. */
public record KeyRange(int from, int to) {
    public static final int MAX_KEY = 65_535;

    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    public KeyRange {
        if (from < 0 || to > MAX_KEY || from > to) {
            throw new IllegalArgumentException("key range " + from + "-" + to + " is outside 0-" + MAX_KEY);
        }
    }

    public int size() {
        return to - from + 1;
    }

    public boolean contains(int key) {
        return from <= key && key <= to;
    }

    public boolean overlaps(KeyRange other) {
        return from <= other.to && other.from <= to;
    }

    public KeyRange intersection(KeyRange other) {
        return new KeyRange(Math.max(from, other.from), Math.min(to, other.to));
    }

    @Override
    public String toString() {
        return from + "-" + to;
    }
}
