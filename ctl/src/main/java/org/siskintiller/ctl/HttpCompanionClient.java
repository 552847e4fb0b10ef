package org.siskintiller.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.siskintiller.core.model.Address;

/** Sends requests to companions over HTTP. */
final class HttpCompanionClient implements CompanionClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    /** Keeps a faulty companion from exhausting the memory of the tool. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private static final int OK = 200;

    private final ObjectMapper json = new ObjectMapper();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    @Override
    public Result get(Address companion, String path) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + companion + path))
                    .timeout(REQUEST_TIMEOUT)
                    .build();
            HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream body = response.body()) {
                byte[] bytes = body.readNBytes(MAX_RESPONSE_BYTES + 1);
                if (bytes.length > MAX_RESPONSE_BYTES) {
                    return new Unreachable("the answer is longer than " + MAX_RESPONSE_BYTES + " bytes");
                }
                if (response.statusCode() != OK) {
                    return new Unreachable("the companion answered with status " + response.statusCode());
                }
                return new Response(json.readTree(bytes));
            }
        } catch (IOException e) {
            return new Unreachable(e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Unreachable("interrupted");
        }
    }
}
