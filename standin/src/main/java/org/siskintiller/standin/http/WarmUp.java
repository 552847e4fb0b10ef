package org.siskintiller.standin.http;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.siskintiller.core.model.Address;

/**
 * Sends requests from a process to its own server. Without it the first requests of a process took up to 2 s in a
 * trial, mostly for class loading.
 */
public final class WarmUp {
    private static final int ROUNDS = 50;
    private static final int BATCH = 16;

    private WarmUp() {}

    public static void run(Address ownServer, String path) {
        HttpClient http =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + ownServer + path)).build();
        for (int i = 0; i < ROUNDS; i++) {
            CompletableFuture<?>[] batch = new CompletableFuture<?>[BATCH];
            for (int j = 0; j < BATCH; j++) {
                batch[j] = http.sendAsync(request, HttpResponse.BodyHandlers.discarding());
            }
            CompletableFuture.allOf(batch).join();
        }
    }
}
