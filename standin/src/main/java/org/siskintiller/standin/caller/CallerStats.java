package org.siskintiller.standin.caller;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.siskintiller.standin.http.HttpBodies;

/** Counters and latencies by rank. */
final class CallerStats {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double US_PER_MS = 1_000;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double P99_PERCENTILE = 99;

    private final Map<String, RankStats> ranks = new TreeMap<>();
    private long mismatched;
    private long doubled;
    private long repeated;

    private static final class RankStats {
        private final Histogram latencyUs = new Histogram(SIGNIFICANT_DIGITS);
        private final Map<String, Long> refused = new TreeMap<>();
        private final Map<String, Long> failed = new TreeMap<>();
        private long count;
        private long sends;
        private long skipped;
    }

    synchronized void recordArrival(String rank) {
        rank(rank).count++;
    }

    synchronized void recordSend(String rank) {
        rank(rank).sends++;
    }

    synchronized void recordSkip(String rank) {
        rank(rank).skipped++;
    }

    synchronized void recordMismatch() {
        mismatched++;
    }

    /** Records that a successful request was sent once more, and whether it was executed a second time. */
    synchronized void recordRepeat(boolean executedTwice) {
        repeated++;
        if (executedTwice) {
            doubled++;
        }
    }

    /** Records the result of the last send of a request. */
    synchronized void recordResult(String rank, SendResult result, long latencyUs) {
        RankStats stats = rank(rank);
        if (result instanceof SendResult.Ok) {
            stats.latencyUs.recordValue(Math.max(0, latencyUs));
        } else if (result instanceof SendResult.Refused refused) {
            stats.refused.merge(refused.status() + "/" + refused.outcome(), 1L, Long::sum);
        } else if (result instanceof SendResult.Failed failed) {
            stats.failed.merge(failed.reason(), 1L, Long::sum);
        }
    }

    synchronized boolean isCorrect() {
        return mismatched == 0 && doubled == 0;
    }

    synchronized ObjectNode toJson() {
        ObjectNode json = HttpBodies.object();
        ObjectNode byRank = json.putObject("ranks");
        ranks.forEach((name, stats) -> write(byRank.putObject(name), stats));
        return json.put("mismatched", mismatched).put("doubled", doubled).put("repeated", repeated);
    }

    private static void write(ObjectNode json, RankStats stats) {
        json.put("count", stats.count)
                .put("sends", stats.sends)
                .put("skipped", stats.skipped)
                .put("ok", stats.latencyUs.getTotalCount());
        ObjectNode refused = json.putObject("refused");
        stats.refused.forEach(refused::put);
        ObjectNode failed = json.putObject("failed");
        stats.failed.forEach(failed::put);
        json.put("p50Ms", stats.latencyUs.getValueAtPercentile(MEDIAN_PERCENTILE) / US_PER_MS)
                .put("p99Ms", stats.latencyUs.getValueAtPercentile(P99_PERCENTILE) / US_PER_MS)
                .put("maxMs", stats.latencyUs.getMaxValue() / US_PER_MS);
    }

    private RankStats rank(String name) {
        return ranks.computeIfAbsent(name.isEmpty() ? "default" : name, ignored -> new RankStats());
    }
}
