package org.siskintiller.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import org.siskintiller.core.model.Address;

/** Asks companions on their operators' paths. */
interface CompanionClient {

    /**
     * Reads a JSON document.
     *
     * @param path path with query, beginning with a slash
     */
    Reply get(Address companion, String path);

    /** Answer of a companion. */
    sealed interface Reply {}

    /** The companion answered. */
    record Answered(JsonNode body) implements Reply {}

    /** The companion did not answer, or its answer is no JSON document. */
    record Unreachable(String reason) implements Reply {}
}
