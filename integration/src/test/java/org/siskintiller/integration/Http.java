package org.siskintiller.integration;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** HTTP client of the tests. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private Http() {}

    /** Response of a backend server, received through a companion. */
    record Reply(int status, JsonNode body) {
        boolean isOk() {
            return status == 200;
        }

        String text(String field) {
            return body.path(field).asText();
        }
    }

    static JsonNode getJson(String address, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .build();
        return JSON.readTree(
                CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray()).body());
    }

    /** Sets or clears faults of a stand-in. */
    static void setFaults(String address, String json) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/_faults"))
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build();
        int status =
                CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status != 200) {
            throw new IOException("faults not set: status " + status);
        }
    }

    static void post(String address, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        CLIENT.send(request, HttpResponse.BodyHandlers.discarding());
    }

    /** Requests a key of the keyed service through a companion. */
    static CompletableFuture<Reply> lookup(String companion, String key, String tag) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + companion + "/lookup/item"))
                .timeout(TIMEOUT)
                .header("Siskin-Key", key)
                .header("Siskin-Customer", "growers")
                .header("Siskin-Deadline-Ms", "1000")
                .header("X-Caller-Tag", tag)
                .build();
        return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .thenApply(response -> new Reply(response.statusCode(), parse(response.body())));
    }

    private static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new IllegalStateException("response body is not JSON", e);
        }
    }
}
