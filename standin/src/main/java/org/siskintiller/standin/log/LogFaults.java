package org.siskintiller.standin.log;

import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.standin.http.HttpBodies;

/**
 * Active faults.
 *
 * @param down every connection is closed without a response
 * @param delayMs delay before each request is handled
 * @param loseAnswers share of appends whose response is lost
 * @param lateAppendMs delay after which an append with a lost response takes effect; 0 is immediately
 */
record LogFaults(boolean down, long delayMs, double loseAnswers, long lateAppendMs) {
    static final LogFaults NONE = new LogFaults(false, 0, 0, 0);

    private static final Set<String> FIELDS = Set.of("mode", "delayMs", "loseAnswers", "lateAppendMs");

    LogFaults {
        if (delayMs < 0 || lateAppendMs < 0 || !(loseAnswers >= 0 && loseAnswers <= 1)) {
            throw new IllegalArgumentException("delayMs and lateAppendMs must be at least 0, loseAnswers from 0 to 1");
        }
    }

    /**
     * Applies a change. The mode "up" clears all faults first; absent fields keep their values. If lateAppendMs is
     * set and no share of lost responses is, it applies to all appends.
     */
    LogFaults with(JsonNode change) {
        HttpBodies.checkFields(change, FIELDS);
        String mode = change.path("mode").asText("");
        LogFaults base =
                switch (mode) {
                    case "" -> this;
                    case "up" -> NONE;
                    case "down" -> new LogFaults(true, delayMs, loseAnswers, lateAppendMs);
                    case "slow" -> new LogFaults(false, delayMs, loseAnswers, lateAppendMs);
                    default -> throw new IllegalArgumentException("mode " + mode + " is none of down, up, slow");
                };
        if (mode.equals("slow") && !change.has("delayMs")) {
            throw new IllegalArgumentException("mode slow needs delayMs");
        }
        return new LogFaults(
                base.down,
                change.path("delayMs").asLong(base.delayMs),
                change.path("loseAnswers")
                        .asDouble(change.has("lateAppendMs") && base.loseAnswers == 0 ? 1 : base.loseAnswers),
                change.path("lateAppendMs").asLong(base.lateAppendMs));
    }

    ObjectNode toJson() {
        return HttpBodies.object()
                .put("down", down)
                .put("delayMs", delayMs)
                .put("loseAnswers", loseAnswers)
                .put("lateAppendMs", lateAppendMs);
    }
}
