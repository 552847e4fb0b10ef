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

/** Chooses witnesses so that the loss of one failure domain leaves a majority where that is possible. */
public final class WitnessChoice {
    private static final int MAX_PER_DOMAIN = 2;
    private static final int DOMAINS_NEEDED = 3;

    private WitnessChoice() {}

    /**
     * Returns up to five open sessions other than the holder.
     *
     * @param kept present witnesses that work, which are kept where the rule for failure domains allows it
     * @param avoided sessions that did not answer lately
     */
    public static List<Incarnation> choose(
            ClusterState state, Incarnation holder, List<Incarnation> kept, Set<Incarnation> avoided) {
        Map<String, Integer> perDomain = new HashMap<>();
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
        int perDomainLimit = domains.size() >= DOMAINS_NEEDED ? MAX_PER_DOMAIN : Replay.MAX_WITNESSES;
        // The order differs between holders, so that each session witnesses about as many others.
        others.sort(Comparator.comparing((Session each) -> !kept.contains(each.incarnation()))
                .thenComparingLong(each -> mix(holder.id(), each.incarnation().id()))
                .thenComparing(Session::incarnation));
        for (Session each : others) {
            if (chosen.size() == Replay.MAX_WITNESSES) {
                break;
            }
            if (perDomain.getOrDefault(each.failureDomain(), 0) < perDomainLimit) {
                perDomain.merge(each.failureDomain(), 1, Integer::sum);
                chosen.add(each.incarnation());
            }
        }
        return chosen;
    }

    private static boolean isSpread(ClusterState state, List<Incarnation> witnesses) {
        Map<String, Integer> perDomain = new HashMap<>();
        for (Incarnation witness : witnesses) {
            String domain = state.session(witness).map(Session::failureDomain).orElse("");
            if (perDomain.merge(domain, 1, Integer::sum) > MAX_PER_DOMAIN) {
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
