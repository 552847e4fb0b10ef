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

/** Reads and judges the journals of the backend servers. */
final class Journals {

    private Journals() {}

    /** Commits of all servers, in the order of their ends. */
    static List<Commit> commits(List<TestInstance> servers) throws IOException {
        List<Commit> commits = new ArrayList<>();
        for (TestInstance server : servers) {
            if (!Files.exists(server.journal())) {
                continue;
            }
            String text = Files.readString(server.journal());
            // A killed server may leave half of a last line.
            String whole = text.substring(0, text.lastIndexOf('\n') + 1);
            for (String line : whole.lines().toList()) {
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

    /** Pairs of commits of one key that break sole ownership: at two servers and overlapping, or with falling fences. */
    static List<String> ownershipFaults(List<Commit> commits) {
        List<String> faults = new ArrayList<>();
        for (List<Commit> ofKey : groups(commits, Commit::key).values()) {
            for (int i = 1; i < ofKey.size(); i++) {
                Commit before = ofKey.get(i - 1);
                Commit after = ofKey.get(i);
                boolean overlap = !before.server().equals(after.server()) && after.startNs() < before.endNs();
                if (overlap || after.isFencedBefore(before)) {
                    faults.add(before + " and " + after);
                }
            }
        }
        return faults;
    }

    /** Idempotency keys with more than one commit. */
    static List<List<Commit>> doubledRuns(List<Commit> commits) {
        return groups(commits, Commit::idempotencyKey).values().stream()
                .filter(group -> group.size() > 1)
                .toList();
    }

    private static Map<String, List<Commit>> groups(List<Commit> commits, Function<Commit, String> by) {
        return commits.stream().filter(commit -> !by.apply(commit).isEmpty()).collect(Collectors.groupingBy(by));
    }
}
