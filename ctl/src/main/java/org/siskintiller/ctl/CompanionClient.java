package org.siskintiller.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import org.siskintiller.core.model.Address;

/** Reads the status paths of companions. */
interface CompanionClient {

    /**
     * Reads a JSON document.
     *
     * @param path path with query, beginning with a slash
     */
    Result get(Address companion, String path);

    /** Result of a request to a companion. */
    sealed interface Result {}

    /** The companion responded with a JSON document. */
    record Response(JsonNode body) implements Result {}

    /** The companion did not respond, or its response is not a JSON document. */
    record Unreachable(String reason) implements Result {}
}
