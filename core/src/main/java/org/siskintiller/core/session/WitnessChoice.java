package org.siskintiller.core.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Replay;

/** Chooses witnesses so that, where possible, a majority remains after the loss of one failure domain. */
public final class WitnessChoice {
    private static final int MAX_PER_DOMAIN = 2;
    private static final int MIN_DOMAINS_FOR_LIMIT = 3;

    private WitnessChoice() {}

    /**
     * Returns up to five open sessions other than the holder.
     *
     * @param kept current witnesses that respond, kept as far as the limit per failure domain allows
     * @param avoided sessions that recently failed to respond
     */
    public static List<Incarnation> choose(
            ClusterState state, Incarnation holder, List<Incarnation> kept, Set<Incarnation> avoided) {
        Map<String, Integer> countByDomain = new HashMap<>();
        List<Incarnation> chosen = new ArrayList<>();
        if (kept.size() == Replay.MAX_WITNESSES && isSpread(state, kept)) {
            return kept;
        }
        List<Session> others = new ArrayList<>();
        Set<String> domains = new HashSet<>();
        state.forEachOpenSession(session -> {
            domains.add(session.failureDomain());
            if (!session.incarnation().equals(holder) && !avoided.contains(session.incarnation())) {
                others.add(session);
            }
        });
        int perDomainLimit = domains.size() >= MIN_DOMAINS_FOR_LIMIT ? MAX_PER_DOMAIN : Replay.MAX_WITNESSES;
        // The order differs between holders, so that each session is a witness of about the same number of others.
        others.sort(Comparator.comparing((Session other) -> !kept.contains(other.incarnation()))
                .thenComparingLong(other -> mix(holder.id(), other.incarnation().id()))
                .thenComparing(Session::incarnation));
        for (Session session : others) {
            if (chosen.size() == Replay.MAX_WITNESSES) {
                break;
            }
            if (countByDomain.getOrDefault(session.failureDomain(), 0) < perDomainLimit) {
                countByDomain.merge(session.failureDomain(), 1, Integer::sum);
                chosen.add(session.incarnation());
            }
        }
        return chosen;
    }

    private static boolean isSpread(ClusterState state, List<Incarnation> witnesses) {
        Map<String, Integer> countByDomain = new HashMap<>();
        for (Incarnation witness : witnesses) {
            String domain = state.session(witness).map(Session::failureDomain).orElse("");
            if (countByDomain.merge(domain, 1, Integer::sum) > MAX_PER_DOMAIN) {
                return false;
            }
        }
        return true;
    }

    private static long mix(long holder, long other) {
        long mixed = (holder * 0x9E3779B97F4A7C15L) ^ other;
        mixed = (mixed ^ (mixed >>> 31)) * 0xBF58476D1CE4E5B9L;
        return mixed ^ (mixed >>> 29);
    }
}
