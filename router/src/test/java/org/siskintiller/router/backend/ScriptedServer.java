package org.siskintiller.router.backend;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.siskintiller.core.model.Address;

/** Backend server that writes given bytes in response to each request, whether they are HTTP or not. */
final class ScriptedServer implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";
    /** Bound of an endless response, so that a test with an unlimited reader ends. */
    private static final int ENDLESS_WRITES = 20_000;

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger closedByClient = new AtomicInteger();
    private final Script script;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        Thread acceptor = new Thread(this::accept, "scripted-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    /** Number of requests received on all connections. */
    int requests() {
        return requests.get();
    }

    /** Number of connections accepted. */
    int connections() {
        return connections.size();
    }

    /** Number of connections that the client closed, also while it was sent a response. */
    int closedByClient() {
        return closedByClient.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                Thread reader = new Thread(() -> serve(connection), "scripted-connection");
                reader.setDaemon(true);
                reader.start();
            }
        } catch (IOException e) {
            // The test has ended.
            return;
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream input = connection.getInputStream();
            StringBuilder received = new StringBuilder();
            int next = input.read();
            while (next >= 0) {
                received.append((char) next);
                if (received.toString().endsWith(HEAD_END)) {
                    script.respond(new Response(connection), requests.incrementAndGet());
                    received.setLength(0);
                }
                next = input.read();
            }
            closedByClient.incrementAndGet();
        } catch (IOException e) {
            closedByClient.incrementAndGet();
        }
    }

    /** Decides what is written in response to a request. */
    interface Script {
        /**
         * Responds to a request.
         *
         * @param number number of the request, from 1
         */
        void respond(Response response, int number) throws IOException;
    }

    /** Bytes of one response. */
    record Response(Socket connection) {
        void write(String text) throws IOException {
            connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Writes the text again and again until the client closes the connection. */
        void writeEndlessly(String text) throws IOException {
            for (int i = 0; i < ENDLESS_WRITES; i++) {
                write(text);
            }
        }

        void end() throws IOException {
            connection.shutdownOutput();
        }

        static void pause(long ms) throws IOException {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }
}
