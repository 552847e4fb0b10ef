package org.siskintiller.standin.backend;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.http.HttpBodies;

/** Announces the backend server to its companion. */
final class Announcer {
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final BackendSettings settings;
    private final Address own;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    Announcer(BackendSettings settings, Address own) {
        this.settings = settings;
        this.own = settings.announcedAddress() == null ? own : settings.announcedAddress();
    }

    void announce(boolean leaving) {
        ObjectNode body = HttpBodies.object()
                .put("service", settings.service())
                .put("host", own.host())
                .put("port", own.port())
                .put("concurrency", settings.concurrency())
                .put("connections", settings.connections())
                .put("leaving", leaving);
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + settings.companion() + "/_siskin/announce"))
                    .timeout(TIMEOUT)
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(HttpBodies.toLine(body)))
                    .build();
            http.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The companion may be down; the next announcement tries again.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
