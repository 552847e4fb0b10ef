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
    private static final long END_MS = 20_000;
    private static final int WRONG_ANSWERS = 4;

    /** What one request came to, over all of its sends. */
    record Result(String tag, String idempotencyKey, List<JsonNode> sends) {
        boolean succeeded() {
            return sends.stream().anyMatch(send -> send.path("result").asText().equals("ok"));
        }

        /** Sends that were neither answered nor refused as not run. */
        List<JsonNode> cutSends() {
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

    /** Waits until the caller has sent this many requests more. */
    void awaitSends(long more) throws IOException, InterruptedException {
        long from = sends();
        Await.until(more + " more requests are sent", END_MS, () -> sends() >= from + more);
    }

    /** Ends the run and returns the requests by tag. */
    Map<String, Result> finish() throws IOException, InterruptedException {
        Http.post(address, "/stop");
        int exitCode = process.awaitExit(END_MS);
        if (exitCode == WRONG_ANSWERS) {
            throw new AssertionError("wrong answers: " + process.lastLines());
        }
        Map<String, Result> results = new TreeMap<>();
        for (String line : Files.readAllLines(journal)) {
            JsonNode send = Http.JSON.readTree(line);
            String tag = send.path("tag").asText();
            results.computeIfAbsent(
                            tag,
                            each -> new Result(tag, send.path("idempotencyKey").asText(), new ArrayList<>()))
                    .sends()
                    .add(send);
        }
        return results;
    }
}
