package org.siskintiller.core.balance;

/**
 * Duration of work on a machine, which other tenants slow down at times. Load pattern: work takes three times as long
 * during a fifth of the time, and this changes every 400 ms on average. Following each figure would send the requests of
 * all companions to the machine that is fast at the moment; a figure is outdated before their requests end.
 *
 * <p>A figure counts for as long as it usually lasts and decays to the mean of the machine.
 */
public final class MachineSpeed {
    /** Time for which a figure usually lasts. */
    private static final double PHASE_NS = 400_000_000;
    /** Time over which single figures are averaged, so that noise is not taken for a phase. */
    private static final double NOISE_NS = 50_000_000;
    /** Time over which figures count in the mean. It covers about 25 phases. */
    private static final double MEAN_WINDOW_NS = 10e9;
    /** Higher figures count as this one, so that a single outlier does not determine the mean. */
    private static final int MAX_PERCENT = 2_000;

    private boolean known;
    private double recent;
    private double mean;
    private long reportedNs;
    private double observedNs;

    /** Processes a figure of the backend server in percent of the usual duration. Others than positive ones are ignored. */
    public void reported(int percent, long nowNs) {
        if (percent <= 0) {
            return;
        }
        double figure = Math.min(percent, MAX_PERCENT);
        if (!known) {
            known = true;
            recent = figure;
            mean = figure;
            reportedNs = nowNs;
            return;
        }
        double elapsedNs = Math.max(0, nowNs - reportedNs);
        double decayed = expected(nowNs);
        // A figure counts for the time since the previous one, for at most the length of a phase.
        double countedNs = Math.min(elapsedNs, PHASE_NS);
        observedNs = Math.min(MEAN_WINDOW_NS, observedNs + countedNs);
        mean += observedNs == 0 ? 0 : countedNs / observedNs * (figure - mean);
        recent = decayed + (1 - Math.exp(-Math.max(elapsedNs, NOISE_NS / 2) / NOISE_NS)) * (figure - decayed);
        reportedNs = nowNs;
    }

    /** Expected duration of work in relation to its mean on this machine, 1 if no figure is known. */
    public double factor(long nowNs) {
        return known ? expected(nowNs) / mean : 1;
    }

    /** As above in percent, 0 if no figure is known. */
    public int percent(long nowNs) {
        return known ? (int) Math.max(1, Math.round(100 * factor(nowNs))) : 0;
    }

    private double expected(long nowNs) {
        return mean + (recent - mean) * recency(nowNs - reportedNs);
    }

    /** Part of its difference from the mean that a figure of the given age still has. */
    static double recency(double ageNs) {
        return Math.exp(-Math.max(0, ageNs) / PHASE_NS);
    }
}
