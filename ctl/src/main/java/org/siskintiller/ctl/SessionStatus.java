package org.siskintiller.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Status that a companion reports for its session.
 *
 * @param configVersion version in force there, -1 when the companion did not respond
 * @param appliedOffset last applied offset there, -1 when the companion did not respond
 * @param note why the companion did not respond or its response concerns another session, or empty
 */
record SessionStatus(
        SessionAddress session, long configVersion, long appliedOffset, boolean lease, long ownedSlots, String note) {

    static SessionStatus of(SessionAddress session, CompanionClient.Result result) {
        if (result instanceof CompanionClient.Unreachable unreachable) {
            return new SessionStatus(session, -1, -1, false, 0, unreachable.reason());
        }
        JsonNode body = ((CompanionClient.Response) result).body();
        if (!body.has("configVersion")) {
            return new SessionStatus(session, -1, -1, false, 0, "the companion has no session yet");
        }
        return new SessionStatus(
                session,
                body.path("configVersion").asLong(-1),
                body.path("appliedOffset").asLong(-1),
                body.path("lease").path("held").asBoolean(false),
                body.path("ownedSlots").asLong(0),
                body.path("incarnation").asText(session.incarnation()).equals(session.incarnation())
                        ? ""
                        : "another incarnation answers");
    }

    boolean hasResponded() {
        return configVersion >= 0;
    }

    /**
     * Open session as listed in the log or by a companion.
     *
     * @param http address of the companion for operators
     */
    record SessionAddress(
            String instance, String incarnation, String failureDomain, String service, String http, boolean draining) {}
}
