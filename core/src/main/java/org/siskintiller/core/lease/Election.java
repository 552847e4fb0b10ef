package org.siskintiller.core.lease;

/** Decides when an instance stands for the lease authority. The store decides between candidates. */
public final class Election {
    /** An authority that is not heard for this long has failed: three renewals and their answers. */
    private static final long SILENCE_NS = 1_500_000_000L;
    /** Candidates stand one after the other, so that mostly one append is tried. */
    private static final long RANK_DELAY_NS = 150_000_000L;
    /** With this many candidates the last ones stand together. */
    private static final int MOST_RANKS = 6;
    /** An authority without the store for this long is replaced by one that reaches it. It reads every second. */
    private static final long STORE_AGE_LIMIT_NS = 3_500_000_000L;

    private long vacantSinceNs = Long.MIN_VALUE;

    /**
     * Returns whether to append a claim now.
     *
     * @param rank place of this instance in the order of candidates, 0 is the first
     */
    public boolean shouldClaim(View view, int rank, long nowNs) {
        if (!view.storeReachable() || view.stopping() || !isVacant(view, nowNs)) {
            vacantSinceNs = Long.MIN_VALUE;
            return false;
        }
        if (vacantSinceNs == Long.MIN_VALUE) {
            vacantSinceNs = nowNs;
        }
        return nowNs - vacantSinceNs >= Math.min(rank, MOST_RANKS) * RANK_DELAY_NS;
    }

    private static boolean isVacant(View view, long nowNs) {
        if (!view.known() || view.resigned() || view.ownEarlierRun()) {
            return true;
        }
        if (view.authorityStoreAgeNs() > STORE_AGE_LIMIT_NS && nowNs - view.heardNs() < SILENCE_NS) {
            return true;
        }
        return nowNs - view.heardNs() > SILENCE_NS && !view.mostPeersHearIt();
    }

    /**
     * What an instance knows of the present authority.
     *
     * @param known whether the store names one
     * @param resigned whether it resigned
     * @param ownEarlierRun whether it was an earlier process of this instance
     * @param heardNs time of the last message from it
     * @param authorityStoreAgeNs age of its last contact with the store, as it reported
     * @param mostPeersHearIt whether more than half of the connected companions hear it
     * @param storeReachable whether this instance reaches the store
     * @param stopping whether this process is stopping
     */
    public record View(
            boolean known,
            boolean resigned,
            boolean ownEarlierRun,
            long heardNs,
            long authorityStoreAgeNs,
            boolean mostPeersHearIt,
            boolean storeReachable,
            boolean stopping) {}
}
