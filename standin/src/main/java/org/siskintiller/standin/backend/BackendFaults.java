package org.siskintiller.standin.backend;

import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.standin.http.HttpBodies;

/**
 * Active faults and announced states.
 *
 * @param slowFactor factor of all service times
 * @param shed share of requests refused with 503 before they run
 * @param errors share of requests that fail with 500 and commit nothing
 * @param dropAnswers share of requests that run and whose connection is then closed
 * @param cutBodies share of exports whose connection is closed in the middle of the body
 * @param leaving value in the announcement; requests are still served
 * @param announce false suspends the announcements
 * @param loadLagMs age of the sample that GET /load reports
 * @param loadFactor factor of the running requests that GET /load reports; other values than 1 are wrong reports
 */
record BackendFaults(
        double slowFactor,
        double shed,
        double errors,
        double dropAnswers,
        double cutBodies,
        boolean leaving,
        boolean announce,
        long loadLagMs,
        double loadFactor) {
    static final BackendFaults NONE = new BackendFaults(1, 0, 0, 0, 0, false, true, 0, 1);

    private static final Set<String> FIELDS = Set.of(
            "mode",
            "slowFactor",
            "shed",
            "errors",
            "dropAnswers",
            "cutBodies",
            "leaving",
            "announce",
            "loadLagMs",
            "loadFactor",
            "frozen",
            "freezeMs");

    BackendFaults {
        checkShare("shed", shed);
        checkShare("errors", errors);
        checkShare("dropAnswers", dropAnswers);
        checkShare("cutBodies", cutBodies);
        if (!(slowFactor >= 0) || !(loadFactor >= 0) || loadLagMs < 0) {
            throw new IllegalArgumentException("slowFactor, loadFactor and loadLagMs must be at least 0");
        }
    }

    /**
     * Applies a change. {"mode":"up"} clears all faults first; absent fields keep their values. The fields
     * frozen and freezeMs are handled by the freeze gate.
     */
    BackendFaults with(JsonNode change) {
        HttpBodies.checkFields(change, FIELDS);
        BackendFaults base = change.path("mode").asText("").equals("up") ? NONE : this;
        return new BackendFaults(
                change.path("slowFactor").asDouble(base.slowFactor),
                change.path("shed").asDouble(base.shed),
                change.path("errors").asDouble(base.errors),
                change.path("dropAnswers").asDouble(base.dropAnswers),
                change.path("cutBodies").asDouble(base.cutBodies),
                change.path("leaving").asBoolean(base.leaving),
                change.path("announce").asBoolean(base.announce),
                change.path("loadLagMs").asLong(base.loadLagMs),
                change.path("loadFactor").asDouble(base.loadFactor));
    }

    ObjectNode toJson() {
        return HttpBodies.object()
                .put("slowFactor", slowFactor)
                .put("shed", shed)
                .put("errors", errors)
                .put("dropAnswers", dropAnswers)
                .put("cutBodies", cutBodies)
                .put("leaving", leaving)
                .put("announce", announce)
                .put("loadLagMs", loadLagMs)
                .put("loadFactor", loadFactor);
    }

    private static void checkShare(String name, double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(name + " is " + share + ", not from 0 to 1");
        }
    }
}
