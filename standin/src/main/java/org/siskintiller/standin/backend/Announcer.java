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

/** Sends announcements of the backend server to its companion. */
final class Announcer {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(900);

    private final BackendSettings settings;
    private final Address announcedAddress;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .build();

    Announcer(BackendSettings settings, Address boundAddress) {
        this.settings = settings;
        this.announcedAddress = settings.announcedAddress() == null ? boundAddress : settings.announcedAddress();
    }

    void announce(boolean leaving) {
        ObjectNode body = HttpBodies.object()
                .put("service", settings.service())
                .put("host", announcedAddress.host())
                .put("port", announcedAddress.port())
                .put("concurrency", settings.concurrency())
                .put("connections", settings.connections())
                .put("leaving", leaving);
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + settings.companion() + "/_siskin/announce"))
                    .timeout(REQUEST_TIMEOUT)
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(HttpBodies.toLine(body)))
                    .build();
            http.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The companion may be down; the next announcement is sent after the interval.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
