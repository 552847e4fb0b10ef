package org.siskintiller.node.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.node.request.Problem;

/** Writes problems as application/problem+json (RFC 9457). */
public final class ProblemWriter {
    public static final String CONTENT_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProblemWriter() {}

    public static byte[] write(Problem problem) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("type", "urn:siskintiller:" + problem.type());
        node.put("title", problem.type().replace('-', ' '));
        node.put("status", problem.status());
        node.put("detail", problem.detail());
        node.put("outcome", problem.outcome().label());
        node.put("remedy", problem.remedy());
        if (problem.retryAfterMs() > 0) {
            node.put("retryAfterMs", problem.retryAfterMs());
        }
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}
