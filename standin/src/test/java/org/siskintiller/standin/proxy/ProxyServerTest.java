package org.siskintiller.standin.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.StandinClient;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a forwarder that forwards traffic despite its faults, so that partition tests run without one. */
@Timeout(60)
class ProxyServerTest {
    /** Long enough for forwarded traffic to arrive, also on a busy machine. */
    private static final int NO_TRAFFIC_TIMEOUT_MS = 300;

    private static final int ARRIVAL_TIMEOUT_MS = 20_000;
    private static final int WORD_BYTES = 4;

    private ServerSocket tcpEcho;
    private DatagramSocket udpEcho;
    private ProxyServer proxy;
    private StandinClient control;

    @BeforeEach
    void start() throws Exception {
        tcpEcho = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        udpEcho = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), tcpEcho.getLocalPort()));
        startDaemon(this::acceptTcp);
        startDaemon(this::echoUdp);
        Address target = new Address("127.0.0.1", tcpEcho.getLocalPort());
        Address anyPort = new Address("127.0.0.1", 0);
        proxy = new ProxyServer(anyPort, List.of(new ProxyServer.Route(anyPort, target)), 5);
        control = new StandinClient(proxy.controlAddress());
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        tcpEcho.close();
        udpEcho.close();
    }

    /** Loop that ends with an IOException when its socket is closed. */
    private interface SocketLoop {
        void run() throws IOException;
    }

    private static void startDaemon(SocketLoop loop) {
        Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptTcp() throws IOException {
        while (true) {
            Socket socket = tcpEcho.accept();
            startDaemon(() -> {
                socket.getInputStream().transferTo(socket.getOutputStream());
                socket.close();
            });
        }
    }

    private void echoUdp() throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[8_000], 8_000);
        while (true) {
            udpEcho.receive(packet);
            udpEcho.send(packet);
        }
    }

    private void setFaults(String faults) throws Exception {
        control.setFaults("{\"map\":\"all\"," + faults + "}");
    }

    private JsonNode mapping() throws Exception {
        return control.json(control.request("/_faults")).path("mappings").path(0);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", proxy.addresses().get(0).port());
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void write(Socket socket, String word) throws IOException {
        socket.getOutputStream().write(word.getBytes(StandardCharsets.US_ASCII));
    }

    private static String read(Socket socket, int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        InputStream in = socket.getInputStream();
        return new String(in.readNBytes(WORD_BYTES), StandardCharsets.US_ASCII);
    }

    private String echoDatagram(DatagramSocket socket, String word, int timeoutMs) {
        try {
            byte[] content = word.getBytes(StandardCharsets.US_ASCII);
            Address address = proxy.addresses().get(0);
            socket.send(
                    new DatagramPacket(content, content.length, new InetSocketAddress("127.0.0.1", address.port())));
            socket.setSoTimeout(timeoutMs);
            DatagramPacket reply = new DatagramPacket(new byte[8_000], 8_000);
            socket.receive(reply);
            return new String(reply.getData(), 0, reply.getLength(), StandardCharsets.US_ASCII);
        } catch (SocketTimeoutException e) {
            return "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Nested
    class Tcp {

        @Test
        void forwardsBothDirectionsAndTheEnd() throws Exception {
            try (Socket socket = connect()) {
                write(socket, "ping");
                assertThat(read(socket, ARRIVAL_TIMEOUT_MS)).isEqualTo("ping");
            }
            while (mapping().path("connections").asInt() > 0) {
                Thread.sleep(2);
            }
        }

        @Test
        void cutClosesOpenAndNewConnections() throws Exception {
            try (Socket socket = connect()) {
                write(socket, "ping");
                read(socket, ARRIVAL_TIMEOUT_MS);
                setFaults("\"cut\":true");
                socket.setSoTimeout(ARRIVAL_TIMEOUT_MS);
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
            try (Socket socket = connect()) {
                socket.setSoTimeout(ARRIVAL_TIMEOUT_MS);
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }

        @Test
        void halfOpenBlocksDataUntilUp() throws Exception {
            try (Socket socket = connect()) {
                setFaults("\"halfOpen\":true");
                write(socket, "ping");
                assertThrows(SocketTimeoutException.class, () -> read(socket, NO_TRAFFIC_TIMEOUT_MS));
                setFaults("\"mode\":\"up\"");
                assertThat(read(socket, ARRIVAL_TIMEOUT_MS)).isEqualTo("ping");
            }
        }

        @Test
        void lossInOneDirectionForwardsTheOther() throws Exception {
            try (Socket socket = connect()) {
                setFaults("\"lossBackward\":1");
                write(socket, "ping");
                // Four bytes are forwarded to the echo server; the four of its reply are counted but not forwarded.
                while (mapping().path("tcpBytes").asInt() < 2 * WORD_BYTES) {
                    Thread.sleep(2);
                }
                assertThrows(SocketTimeoutException.class, () -> read(socket, NO_TRAFFIC_TIMEOUT_MS));
                setFaults("\"lossBackward\":0");
                assertThat(read(socket, ARRIVAL_TIMEOUT_MS)).isEqualTo("ping");
            }
        }

        @Test
        void delayAndRateLimitDelayData() throws Exception {
            try (Socket socket = connect()) {
                setFaults("\"delayMs\":200");
                long startNs = System.nanoTime();
                write(socket, "ping");
                assertThat(read(socket, ARRIVAL_TIMEOUT_MS)).isEqualTo("ping");
                assertThat(System.nanoTime() - startNs).isAtLeast(400_000_000L);
                setFaults("\"mode\":\"up\",\"bytesPerSecond\":20");
                startNs = System.nanoTime();
                write(socket, "pong");
                assertThat(read(socket, ARRIVAL_TIMEOUT_MS)).isEqualTo("pong");
                assertThat(System.nanoTime() - startNs).isAtLeast(400_000_000L);
            }
        }

        @Test
        void garbageChangesBytes() throws Exception {
            try (Socket socket = connect()) {
                setFaults("\"garbage\":1");
                write(socket, "ping");
                assertThat(read(socket, ARRIVAL_TIMEOUT_MS)).isNotEqualTo("ping");
            }
        }

        @Test
        void largeTransfersAreComplete() throws Exception {
            int bytes = 8 * 1024 * 1024;
            try (Socket socket = connect()) {
                startDaemon(() -> {
                    byte[] chunk = new byte[64 * 1024];
                    for (int sent = 0; sent < bytes; sent += chunk.length) {
                        Arrays.fill(chunk, (byte) (sent >> 16));
                        socket.getOutputStream().write(chunk);
                    }
                });
                socket.setSoTimeout(ARRIVAL_TIMEOUT_MS);
                for (int read = 0; read < bytes; read += 64 * 1024) {
                    byte[] chunk = socket.getInputStream().readNBytes(64 * 1024);
                    assertThat(chunk.length).isEqualTo(64 * 1024);
                    assertThat(chunk[0]).isEqualTo((byte) (read >> 16));
                    assertThat(chunk[chunk.length - 1]).isEqualTo((byte) (read >> 16));
                }
            }
        }
    }

    @Nested
    class Udp {

        @Test
        void forwardsEachReplyToItsClient() throws Exception {
            try (DatagramSocket first = new DatagramSocket();
                    DatagramSocket second = new DatagramSocket()) {
                assertThat(echoDatagram(first, "one", ARRIVAL_TIMEOUT_MS)).isEqualTo("one");
                assertThat(echoDatagram(second, "two", ARRIVAL_TIMEOUT_MS)).isEqualTo("two");
                assertThat(echoDatagram(first, "three", ARRIVAL_TIMEOUT_MS)).isEqualTo("three");
            }
        }

        @Test
        void onlyCutAndLossDropDatagrams() throws Exception {
            try (DatagramSocket socket = new DatagramSocket()) {
                assertThat(echoDatagram(socket, "large ".repeat(1_000), ARRIVAL_TIMEOUT_MS))
                        .isEqualTo("large ".repeat(1_000));
                for (String fault : List.of("\"cut\":true", "\"lossForward\":1", "\"lossBackward\":1")) {
                    setFaults("\"mode\":\"up\"," + fault);
                    assertThat(echoDatagram(socket, "lost", NO_TRAFFIC_TIMEOUT_MS))
                            .isEmpty();
                }
                assertThat(mapping().path("lostDatagrams").asInt()).isEqualTo(3);
                setFaults("\"mode\":\"up\"");
                assertThat(echoDatagram(socket, "back", ARRIVAL_TIMEOUT_MS)).isEqualTo("back");
            }
        }

        @Test
        void delayAppliesToDatagrams() throws Exception {
            try (DatagramSocket socket = new DatagramSocket()) {
                setFaults("\"delayMs\":150");
                long startNs = System.nanoTime();
                assertThat(echoDatagram(socket, "late", ARRIVAL_TIMEOUT_MS)).isEqualTo("late");
                assertThat(System.nanoTime() - startNs).isAtLeast(300_000_000L);
            }
        }
    }

    @Test
    void unknownMappingIsRefused() throws Exception {
        assertThat(control.send(control.post("/_faults", "{\"map\":\"x\"}")).statusCode())
                .isEqualTo(400);
    }
}
