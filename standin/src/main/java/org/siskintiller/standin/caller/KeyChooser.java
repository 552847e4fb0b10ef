package org.siskintiller.standin.caller;

import java.util.Arrays;
import java.util.Random;

/** Chooses the keys of a stream by a distribution. */
final class KeyChooser {
    /** Offset between the most frequent keys of two periods; a prime, so that periods rarely share hot keys. */
    private static final long HOT_SHIFT_KEYS = 7_919;

    private final int count;
    private final double[] cumulative;
    private final String prefix;
    private final long hotShiftMs;

    private KeyChooser(int count, double[] cumulative, String prefix, long hotShiftMs) {
        this.count = count;
        this.cumulative = cumulative;
        this.prefix = prefix;
        this.hotShiftMs = hotShiftMs;
    }

    /**
     * Parses none, uniform:COUNT or zipf:EXPONENT:COUNT.
     *
     * @param hotShiftMs interval at which other keys become the most frequent ones; 0 is never
     */
    static KeyChooser parse(String text, String prefix, long hotShiftMs) {
        String[] parts = text.split(":");
        try {
            if (parts[0].equals("none") && parts.length == 1) {
                return new KeyChooser(0, new double[0], prefix, hotShiftMs);
            }
            if (parts[0].equals("uniform") && parts.length == 2) {
                return new KeyChooser(parsePositive(parts[1]), new double[0], prefix, hotShiftMs);
            }
            if (parts[0].equals("zipf") && parts.length == 3) {
                int count = parsePositive(parts[2]);
                return new KeyChooser(count, zipf(Double.parseDouble(parts[1]), count), prefix, hotShiftMs);
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("keys = " + text + " has no valid number", e);
        }
        throw new IllegalArgumentException("keys = " + text + " is none of none, uniform:COUNT, zipf:EXPONENT:COUNT");
    }

    /** Returns the next key, or null for a stream without keys. */
    String choose(Random random, long elapsedMs) {
        if (count == 0) {
            return null;
        }
        long index = cumulative.length == 0 ? random.nextInt(count) : zipfIndex(random);
        long shift = hotShiftMs == 0 ? 0 : elapsedMs / hotShiftMs * HOT_SHIFT_KEYS;
        return prefix + (index + shift) % count;
    }

    private int zipfIndex(Random random) {
        int position = Arrays.binarySearch(cumulative, random.nextDouble() * cumulative[count - 1]);
        return Math.min(count - 1, position >= 0 ? position : -position - 1);
    }

    private static double[] zipf(double exponent, int count) {
        double[] cumulative = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += Math.pow(i + 1, -exponent);
            cumulative[i] = sum;
        }
        return cumulative;
    }

    private static int parsePositive(String text) {
        int value = Integer.parseInt(text);
        if (value < 1) {
            throw new IllegalArgumentException("a number of keys must be at least 1");
        }
        return value;
    }
}
