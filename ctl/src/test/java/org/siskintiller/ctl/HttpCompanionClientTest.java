package org.siskintiller.ctl;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a faulty companion that makes the tool fail or wait forever. */
class HttpCompanionClientTest {
    private final HttpCompanionClient client = new HttpCompanionClient();
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        respond("/json", 200, "{\"configVersion\":3}".getBytes());
        respond("/garbage", 200, "{".getBytes());
        respond("/failing", 503, new byte[0]);
        respond("/huge", 200, new byte[5 * 1024 * 1024]);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    @Test
    void readsJson() {
        CompanionClient.Result result = client.get(address(), "/json");

        assertThat(((CompanionClient.Response) result)
                        .body()
                        .path("configVersion")
                        .asInt())
                .isEqualTo(3);
    }

    @Test
    void reportsEveryOtherResponseAsUnreachable() {
        assertThat(client.get(address(), "/garbage")).isInstanceOf(CompanionClient.Unreachable.class);
        assertThat(((CompanionClient.Unreachable) client.get(address(), "/failing")).reason())
                .contains("status 503");
        assertThat(((CompanionClient.Unreachable) client.get(address(), "/huge")).reason())
                .contains("longer than");
    }

    @Test
    void reportsAClosedPortAsUnreachable() {
        Address closed = address();
        server.stop(0);

        assertThat(client.get(closed, "/json")).isInstanceOf(CompanionClient.Unreachable.class);
    }

    private Address address() {
        return new Address("127.0.0.1", server.getAddress().getPort());
    }

    private void respond(String path, int status, byte[] body) {
        server.createContext(path, exchange -> {
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
    }
}
