package org.siskintiller.node.http;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.node.request.Problem;

/** Parses a problem from the response body of another companion. */
public final class ProblemReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:siskintiller:";

    private ProblemReader() {}

    /** Returns the problem, or empty if the body is not one. */
    public static Optional<Problem> read(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            String type = node.path("type").asText();
            int status = node.path("status").asInt();
            if (!type.startsWith(TYPE_PREFIX) || status < 400 || status > 599) {
                return Optional.empty();
            }
            return Optional.of(new Problem(
                    status,
                    type.substring(TYPE_PREFIX.length()),
                    node.path("detail").asText(),
                    outcome(node.path("outcome").asText()),
                    node.path("remedy").asText(),
                    node.path("retryAfterMs").asLong()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Outcome outcome(String label) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.label().equals(label)) {
                return outcome;
            }
        }
        return Outcome.UNKNOWN;
    }
}
