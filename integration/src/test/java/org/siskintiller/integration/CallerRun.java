package org.siskintiller.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/** Running caller process. */
record CallerRun(ChildProcess process, String address, Path journal) {
    private static final long TIMEOUT_MS = 20_000;
    private static final int EXIT_MISMATCHED = 4;

    /** Sends of one request, in order. */
    record Result(String tag, String idempotencyKey, List<JsonNode> sends) {
        boolean succeeded() {
            return sends.stream().anyMatch(send -> send.path("result").asText().equals("ok"));
        }

        /** Returns the sends that neither succeeded nor were refused as not run. */
        List<JsonNode> sendsWithUnknownOutcome() {
            return sends.stream()
                    .filter(send -> !send.path("result").asText().equals("ok"))
                    .filter(send -> !send.path("outcome").asText().equals("not-run"))
                    .toList();
        }
    }

    long sends() throws IOException, InterruptedException {
        JsonNode sends = Http.getJson(address, "/summary").findValue("sends");
        return sends == null ? 0 : sends.asLong();
    }

    /** Waits until the caller has made this many more sends. */
    void awaitSends(long count) throws IOException, InterruptedException {
        long sendsBefore = sends();
        Await.until(count + " more requests are sent", TIMEOUT_MS, () -> sends() >= sendsBefore + count);
    }

    /** Stops the caller and returns the results of its requests by tag. */
    Map<String, Result> finish() throws IOException, InterruptedException {
        Http.post(address, "/stop");
        int exitCode = process.awaitExit(TIMEOUT_MS);
        if (exitCode == EXIT_MISMATCHED) {
            throw new AssertionError("mismatched responses: " + process.lastLines());
        }
        Map<String, Result> results = new TreeMap<>();
        for (String line : Files.readAllLines(journal)) {
            JsonNode send = Http.JSON.readTree(line);
            String tag = send.path("tag").asText();
            results.computeIfAbsent(
                            tag,
                            key -> new Result(tag, send.path("idempotencyKey").asText(), new ArrayList<>()))
                    .sends()
                    .add(send);
        }
        return results;
    }
}
