package org.siskintiller.logclient;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import org.siskintiller.core.model.Address;

/** Server that reads one request per connection, writes a given response, then closes or stalls the connection. */
final class ScriptedServer implements AutoCloseable {
    static final long MAX_REPEATED_BYTES = 64 * 1024 * 1024;

    private final ServerSocket socket;
    private final byte[] response;
    private final boolean stallsAfterwards;
    /** Written after the response until the client closes the connection, up to a limit. */
    private final byte[] repeated;

    private final AtomicLong repeatedBytes = new AtomicLong();
    private final CountDownLatch closed = new CountDownLatch(1);

    private ScriptedServer(byte[] response, byte[] repeated, boolean stallsAfterwards) throws IOException {
        this.socket = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        this.response = response;
        this.repeated = repeated;
        this.stallsAfterwards = stallsAfterwards;
        Thread thread = new Thread(this::serve, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    static ScriptedServer respondingWith(byte[] response) throws IOException {
        return new ScriptedServer(response, new byte[0], false);
    }

    static ScriptedServer stallingAfter(byte[] response) throws IOException {
        return new ScriptedServer(response, new byte[0], true);
    }

    static ScriptedServer repeating(String beginning, String repeated) throws IOException {
        return new ScriptedServer(
                beginning.getBytes(StandardCharsets.US_ASCII), repeated.getBytes(StandardCharsets.US_ASCII), false);
    }

    /** Bytes that were written behind the beginning of the response. */
    long repeatedBytes() {
        return repeatedBytes.get();
    }

    static byte[] response(int status, byte[] body) {
        return response(status, body, body.length);
    }

    static byte[] response(int status, byte[] body, int declaredLength) {
        String head = "HTTP/1.1 " + status + " X\r\nContent-Length: " + declaredLength + "\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
        out.writeBytes(body);
        return out.toByteArray();
    }

    Address address() {
        return new Address("127.0.0.1", socket.getLocalPort());
    }

    private void serve() {
        while (!socket.isClosed()) {
            try (Socket connection = socket.accept()) {
                readRequest(connection.getInputStream());
                connection.getOutputStream().write(response);
                connection.getOutputStream().flush();
                while (repeated.length > 0 && repeatedBytes.get() < MAX_REPEATED_BYTES) {
                    connection.getOutputStream().write(repeated);
                    repeatedBytes.addAndGet(repeated.length);
                }
                if (stallsAfterwards) {
                    closed.await();
                }
            } catch (IOException e) {
                // The client or the test closed the connection.
                continue;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void readRequest(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return;
            }
            head.write(next);
        }
        for (String line : head.toString(StandardCharsets.US_ASCII).split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                in.readNBytes(
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()));
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        socket.close();
    }
}
