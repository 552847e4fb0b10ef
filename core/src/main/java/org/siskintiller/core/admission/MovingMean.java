package org.siskintiller.core.admission;

/** Exponentially weighted mean of durations. */
public final class MovingMean {
    /** Weight of a new sample. About the last 20 samples count, so a stall shows within one full set of slots. */
    private static final double WEIGHT = 0.1;

    private final double initial;
    private double mean;
    private boolean sampled;

    public MovingMean(double initial) {
        this.initial = initial;
        this.mean = initial;
    }

    public void add(double sample) {
        mean = sampled ? mean + WEIGHT * (sample - mean) : sample;
        sampled = true;
    }

    public void reset() {
        mean = initial;
        sampled = false;
    }

    public boolean sampled() {
        return sampled;
    }

    public double mean() {
        return mean;
    }
}
