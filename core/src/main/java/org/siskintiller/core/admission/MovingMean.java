package org.siskintiller.core.admission;

/** Exponentially weighted mean of durations. */
public final class MovingMean {
    /** Weight of a new sample. The mean covers about 20 samples, so a stall shows within one full set of slots. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private final double initial;
    private double mean;
    private int samples;

    public MovingMean(double initial) {
        this.initial = initial;
        this.mean = initial;
    }

    public void add(double sample) {
        mean = samples == 0 ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
        samples++;
    }

    public void reset() {
        mean = initial;
        samples = 0;
    }

    public boolean hasSamples() {
        return samples > 0;
    }

    /** Samples since the start or the last reset. */
    public int samples() {
        return samples;
    }

    public double mean() {
        return mean;
    }
}
