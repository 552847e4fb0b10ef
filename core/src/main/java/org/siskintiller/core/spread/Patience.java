package org.siskintiller.core.spread;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when a companion that knows of a newer content stops waiting for it, and whom it asks.
 *
 * <p>Load pattern: the companion that should pass a configuration on is frozen, cut off or behind its link. Others, which
 * read the store as well, announce the version in a small message. A companion that asks too early receives the content twice
 * over links that are busy with it; one that asks too late answers callers by routes that are no longer in force.
 */
public final class Patience {
    /** Time in which a small content arrives. */
    private static final long MIN_WAIT_NS = 250_000_000L;
    /** Half of the shortest time within which a configuration must be in force. */
    private static final long MAX_WAIT_NS = 1_000_000_000L;
    /** Rate at which a content passes a chain of relays, of which each sends several copies. */
    private static final long RELAY_BYTES_PER_S = 64_000;

    private static final long NS_PER_S = 1_000_000_000L;

    /** Time in which an asked companion responds. After it, another one is asked and the store is read. */
    private static final long MIN_RESPONSE_WAIT_NS = 500_000_000L;
    /** The time doubles up to this one: on a saturated link each response delays the others. */
    private static final long MAX_RESPONSE_WAIT_NS = 4_000_000_000L;
    /** Limit of the companions that are remembered as those who know the content. */
    private static final int MAX_SOURCES = 16;

    private final Set<String> sources = new LinkedHashSet<>();
    private final Set<String> asked = new LinkedHashSet<>();
    private long newestVersion;
    private long behindSinceNs;
    private long nextStepNs;
    private long responseWaitNs = MIN_RESPONSE_WAIT_NS;

    /**
     * Records that another companion knows a version that is newer than the own one.
     *
     * @param bytes size of the content on the way between companions
     */
    public void newerVersionKnown(String companion, long version, int bytes, long nowNs) {
        if (!isBehind()) {
            behindSinceNs = nowNs;
            long relayNs = NS_PER_S * bytes / RELAY_BYTES_PER_S;
            nextStepNs = nowNs + Math.min(MAX_WAIT_NS, MIN_WAIT_NS + relayNs);
        }
        if (version > newestVersion) {
            newestVersion = version;
            sources.clear();
            asked.clear();
        }
        if (version == newestVersion && sources.size() < MAX_SOURCES) {
            sources.add(companion);
        }
    }

    /**
     * Records that a companion is connected again. If a content is awaited, the next step need not wait for the response times
     * that grew while others were out of reach.
     */
    public void companionConnected(long nowNs) {
        if (isBehind()) {
            nextStepNs = Math.min(nextStepNs, nowNs + MIN_WAIT_NS);
        }
    }

    /** Records the version in force, which ends the wait unless a newer one is known. */
    public void inForce(long version) {
        if (version >= newestVersion) {
            sources.clear();
            asked.clear();
            behindSinceNs = 0;
            responseWaitNs = MIN_RESPONSE_WAIT_NS;
        }
    }

    /** Makes the next step due, because the content that arrived cannot be used. */
    public void contentUnusable(long nowNs) {
        if (isBehind()) {
            nextStepNs = nowNs;
        }
    }

    /** Whether a newer version than the one in force is known to exist. */
    public boolean isBehind() {
        return behindSinceNs != 0;
    }

    /** Time since a newer version has been known to exist. */
    public long behindNs(long nowNs) {
        return isBehind() ? nowNs - behindSinceNs : 0;
    }

    /**
     * Returns what to do now.
     *
     * @param random value from 0 to 1 that chooses among the companions which know the content
     */
    public Step step(long nowNs, double random) {
        if (!isBehind() || nowNs < nextStepNs) {
            return Step.WAIT;
        }
        nextStepNs = nowNs + responseWaitNs;
        responseWaitNs = Math.min(MAX_RESPONSE_WAIT_NS, 2 * responseWaitNs);
        List<String> candidates = new ArrayList<>(sources);
        candidates.removeAll(asked);
        boolean readsStore = !asked.isEmpty() || candidates.isEmpty();
        if (candidates.isEmpty()) {
            asked.clear();
            return new Step(Optional.empty(), readsStore);
        }
        String chosen = candidates.get((int) Math.min(candidates.size() - 1, random * candidates.size()));
        asked.add(chosen);
        return new Step(Optional.of(chosen), readsStore);
    }

    /**
     * What a companion that is behind does.
     *
     * @param askedCompanion companion to ask for the content, if any
     * @param readsStore whether to read the store as well
     */
    public record Step(Optional<String> askedCompanion, boolean readsStore) {
        static final Step WAIT = new Step(Optional.empty(), false);
    }
}
