package org.siskintiller.core.lease;

import java.util.function.IntSupplier;

/** Decides when an instance claims the lease authority. The store decides between concurrent claims. */
public final class Election {
    /** Time without a message after which the authority counts as failed: three renewals and their responses. */
    private static final long AUTHORITY_TIMEOUT_NS = 1_500_000_000L;
    /** Delay between the claims of successive candidates, so that usually only one of them appends. */
    private static final long RANK_DELAY_NS = 150_000_000L;
    /** Candidates from this rank on claim at the same time. */
    private static final int MAX_DELAYED_RANK = 6;
    /** An authority that has not reached the store for this long is replaced. It reads the store every second. */
    private static final long STORE_AGE_LIMIT_NS = 3_500_000_000L;

    private long vacantSinceNs = Long.MIN_VALUE;

    /**
     * Returns whether to append a claim now.
     *
     * @param rank returns the place of this instance in the order of candidates, 0 is the first. Its cost grows with the
     *     fleet, so it is asked only while the authority is vacant
     */
    public boolean shouldClaim(View view, IntSupplier rank, long nowNs) {
        if (!view.storeReachable() || view.stopping() || !isVacant(view, nowNs)) {
            vacantSinceNs = Long.MIN_VALUE;
            return false;
        }
        if (vacantSinceNs == Long.MIN_VALUE) {
            vacantSinceNs = nowNs;
        }
        return nowNs - vacantSinceNs >= Math.min(rank.getAsInt(), MAX_DELAYED_RANK) * RANK_DELAY_NS;
    }

    private static boolean isVacant(View view, long nowNs) {
        if (!view.known() || view.resigned() || view.ownEarlierRun()) {
            return true;
        }
        if (view.authorityStoreAgeNs() > STORE_AGE_LIMIT_NS && nowNs - view.lastMessageNs() < AUTHORITY_TIMEOUT_NS) {
            return true;
        }
        return nowNs - view.lastMessageNs() > AUTHORITY_TIMEOUT_NS && !view.receivedByMostPeers();
    }

    /**
     * View of an instance on the present authority.
     *
     * @param known whether the store names an authority
     * @param resigned whether the authority resigned
     * @param ownEarlierRun whether the authority was an earlier process of this instance
     * @param lastMessageNs time of the last message from the authority
     * @param authorityStoreAgeNs reported age of the authority's last contact with the store
     * @param receivedByMostPeers whether more than half of the connected companions receive its messages
     * @param storeReachable whether this instance reaches the store
     * @param stopping whether this process is stopping
     */
    public record View(
            boolean known,
            boolean resigned,
            boolean ownEarlierRun,
            long lastMessageNs,
            long authorityStoreAgeNs,
            boolean receivedByMostPeers,
            boolean storeReachable,
            boolean stopping) {}
}
