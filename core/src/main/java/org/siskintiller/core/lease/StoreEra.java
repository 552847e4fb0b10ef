package org.siskintiller.core.lease;

/**
 * Numbers that are unique although a store that was restored from an older copy assigns its offsets again.
 *
 * <p>Terms and fences contain the era of the store and the end at which their record is appended. In one era at most one
 * conditional append takes effect at an end, so no two records in force have the same numbers, and a number of a later era
 * is higher than all of earlier ones. All numbers fit in 53 bits, since backend servers may read fences as JSON numbers of
 * double precision.
 */
public final class StoreEra {
    /** Bits for the end of the topic: a record a second for 34 years. 13 bits remain for the era. */
    private static final int END_BITS = 30;
    /** Bits for the fences of one table. */
    private static final int FENCES_BITS = 10;
    /** Bits for the end of a topic in a position. */
    private static final int POSITION_BITS = 40;

    private static final long MAX_END = (1L << END_BITS) - 1;

    private StoreEra() {}

    /** Returns the era in which a term was claimed. */
    public static long ofTerm(long term) {
        return term >>> END_BITS;
    }

    /** Returns the term of a claim that is appended at the given end, above the highest known term. */
    public static long nextTerm(long era, long end, long knownTerm) {
        return Math.max(knownTerm + 1, number(era, end));
    }

    /** Returns the first fence of a table that is appended at the given end. */
    public static long firstFence(long era, long end) {
        return number(era, end) << FENCES_BITS;
    }

    /** Returns a number that orders the ends of a topic by era, then by offset. */
    public static long position(long era, long end) {
        return (era << POSITION_BITS) + end;
    }

    private static long number(long era, long end) {
        return (era << END_BITS) + Math.min(end, MAX_END);
    }
}
