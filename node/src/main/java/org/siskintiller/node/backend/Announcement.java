package org.siskintiller.node.backend;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;

/** Address, limits and drain state that a backend server announces once a second. */
public record Announcement(BackendServer backendServer, boolean leaving) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses an announcement; empty when it is malformed. */
    public static Optional<Announcement> parse(byte[] json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            if (node == null
                    || !node.path("service").isTextual()
                    || !node.path("host").isTextual()
                    || !node.path("port").isInt()) {
                return Optional.empty();
            }
            Address address =
                    new Address(node.path("host").asText(), node.path("port").asInt());
            BackendServer server = new BackendServer(
                    node.path("service").asText(),
                    address,
                    node.path("concurrency").asInt(),
                    node.path("connections").asInt());
            return Optional.of(new Announcement(server, node.path("leaving").asBoolean(false)));
        } catch (java.io.IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
