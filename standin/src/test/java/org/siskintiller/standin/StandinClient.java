package org.siskintiller.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.siskintiller.core.model.Address;

/** HTTP client for tests of the stand-ins. */
public final class StandinClient {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Address address;

    public StandinClient(Address address) {
        this.address = address;
    }

    public HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(Duration.ofSeconds(20));
    }

    public HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public JsonNode json(HttpRequest.Builder request) throws IOException, InterruptedException {
        return JSON.readTree(send(request).body());
    }

    public HttpRequest.Builder post(String path, String body) {
        return request(path).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    public JsonNode setFaults(String json) throws IOException, InterruptedException {
        HttpResponse<String> response = send(post("/_faults", json));
        if (response.statusCode() != 200) {
            throw new IllegalArgumentException("faults refused: " + response.body());
        }
        return JSON.readTree(response.body());
    }
}
