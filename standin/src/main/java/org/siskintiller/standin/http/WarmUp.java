package org.siskintiller.standin.http;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.siskintiller.core.model.Address;

/**
 * Sends requests from a process to its server. Without a warm-up, the first requests of a process can take up to 2 s,
 * mostly for class loading.
 */
public final class WarmUp {
    private static final int BATCHES = 50;
    private static final int BATCH_REQUESTS = 16;

    private WarmUp() {}

    public static void run(Address server, String path) {
        HttpClient http =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + server + path)).build();
        for (int i = 0; i < BATCHES; i++) {
            CompletableFuture<?>[] batch = new CompletableFuture<?>[BATCH_REQUESTS];
            for (int j = 0; j < BATCH_REQUESTS; j++) {
                batch[j] = http.sendAsync(request, HttpResponse.BodyHandlers.discarding());
            }
            CompletableFuture.allOf(batch).join();
        }
    }
}
