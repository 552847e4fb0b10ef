package org.siskintiller.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads the journals of the backend servers and finds violations in them. */
final class Journals {

    private Journals() {}

    /** Returns the commits of all servers in the order of their end times. */
    static List<Commit> commits(List<TestInstance> servers) throws IOException {
        List<Commit> commits = new ArrayList<>();
        for (TestInstance server : servers) {
            if (!Files.exists(server.journal())) {
                continue;
            }
            String text = Files.readString(server.journal());
            // A killed server may leave an incomplete last line.
            String completeLines = text.substring(0, text.lastIndexOf('\n') + 1);
            for (String line : completeLines.lines().toList()) {
                JsonNode json = Http.JSON.readTree(line);
                if (json.path("outcome").asText().equals("committed")) {
                    commits.add(commit(server.name(), json));
                }
            }
        }
        commits.sort(Comparator.comparingLong(Commit::endNs));
        return commits;
    }

    private static Commit commit(String server, JsonNode json) {
        String[] fence = json.path("fence").asText().split("\\.");
        return new Commit(
                server,
                json.path("execution").asText(),
                json.path("key").asText(),
                json.path("tag").asText(),
                json.path("idempotencyKey").asText(),
                json.path("customer").asText(),
                fence.length == 2 ? Long.parseLong(fence[0]) : -1,
                fence.length == 2 ? Integer.parseInt(fence[1]) : -1,
                json.path("startNs").asLong(),
                json.path("endNs").asLong());
    }

    /** Returns pairs of commits of one key that overlap at two servers, or whose later commit has the lower fence. */
    static List<String> ownershipViolations(List<Commit> commits) {
        List<String> violations = new ArrayList<>();
        for (List<Commit> keyCommits : groupBy(commits, Commit::key).values()) {
            for (int i = 1; i < keyCommits.size(); i++) {
                Commit earlier = keyCommits.get(i - 1);
                Commit later = keyCommits.get(i);
                boolean isOverlapping = !earlier.server().equals(later.server()) && later.startNs() < earlier.endNs();
                if (isOverlapping || later.hasLowerFenceThan(earlier)) {
                    violations.add(earlier + " and " + later);
                }
            }
        }
        return violations;
    }

    /** Returns the commits of each idempotency key that has more than one. */
    static List<List<Commit>> duplicateCommits(List<Commit> commits) {
        return groupBy(commits, Commit::idempotencyKey).values().stream()
                .filter(group -> group.size() > 1)
                .toList();
    }

    private static Map<String, List<Commit>> groupBy(List<Commit> commits, Function<Commit, String> key) {
        return commits.stream().filter(commit -> !key.apply(commit).isEmpty()).collect(Collectors.groupingBy(key));
    }
}
