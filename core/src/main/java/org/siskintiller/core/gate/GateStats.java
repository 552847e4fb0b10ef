package org.siskintiller.core.gate;

import java.util.List;
import java.util.Map;

/**
 * Counters of a gate for metrics and load reports.
 *
 * @param limit current maximum number of concurrent requests
 * @param refused refusals by kind since the start
 */
public record GateStats(
        int queued,
        int inFlight,
        int limit,
        int openSlots,
        long dispatched,
        long completed,
        Map<RefusalKind, Long> refused,
        List<RankStats> ranks) {

    public GateStats {
        refused = Map.copyOf(refused);
        ranks = List.copyOf(ranks);
    }

    /**
     * Counters of one rank.
     *
     * @param admittedShare share of the rank's recent requests that were admitted, from 0 to 1
     */
    public record RankStats(String rank, int queued, int inFlight, long dispatched, double admittedShare) {}
}
