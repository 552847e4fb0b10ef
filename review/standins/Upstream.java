import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of an application upstream without keys: heartbeats, and answers to requests. */
final class Upstream {
    /** "sends another heartbeat within 100 ms until that is done" */
    private static final int RELEASE_BEAT_MS = 100;

    /** What the upstream does with a request that it runs; returns the body of the answer. */
    interface Work {
        byte[] run(Http.Message request) throws Exception;
    }

    private final InetSocketAddress address;
    private final Record record;
    private final Work work;
    private final String service;
    private final String zone;
    private final int slots;
    private final AtomicLong sequence = new AtomicLong();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final String firstId;
    /** Keys of a service that is divided by key, otherwise null. */
    volatile HeldKeys keys;
    private volatile ServerSocket server;
    private volatile long born;
    private volatile boolean up;
    private int lives;
    volatile String id;
    /** Time in ms of the record at which each request was begun, by request id. */
    final Map<String, Long> runs = new ConcurrentHashMap<>();
    volatile boolean beating = true;
    volatile boolean logsRequests = true;

    Upstream(String host, int port, String id, String service, String zone, int slots, Record record, Work work)
            throws IOException {
        this.address = new InetSocketAddress(InetAddress.getByName(host), port);
        this.firstId = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.record = record;
        this.work = work;
        start();
    }

    /** Starts a life: a new incarnation with a new id. */
    private synchronized void start() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address, 200);
        server = socket;
        id = lives == 0 ? firstId : firstId + "-" + lives;
        lives++;
        born = System.currentTimeMillis();
        sequence.set(0);
        up = true;
        Threads.start("upstream", () -> {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Threads.start("upstream-connection", () -> serve(connection));
            }
        });
    }

    /** Ends at once, and starts again after some time. */
    synchronized void crash(long backAfterMs) throws IOException {
        if (!up) {
            return;
        }
        record.line("upstream " + id + " crashes");
        up = false;
        server.close();
        for (Socket connection : connections) {
            reset(connection);
        }
        connections.clear();
        Threads.start("upstream-restart", () -> {
            Thread.sleep(backAfterMs);
            start();
            record.line("upstream " + id + " is back");
        });
    }

    private static void reset(Socket connection) {
        try {
            connection.setSoLinger(true, 0);
            connection.close();
        } catch (IOException e) {
            // The other side has closed the connection.
        }
    }

    String address() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Sends a heartbeat at each interval. */
    void beat(String host, int port, long intervalMs) {
        Threads.start("heartbeats", () -> {
            while (true) {
                boolean releasing = false;
                if (beating && up) {
                    try {
                        long sentNs = System.nanoTime();
                        Http.Message answer = exchange(host, port, heartbeat());
                        releasing = keys != null && answer != null && keys.answered(answer, sentNs);
                    } catch (IOException e) {
                        // The companion does not run; the next heartbeat tries again.
                    }
                }
                Thread.sleep(releasing ? RELEASE_BEAT_MS : intervalMs);
            }
        });
    }

    /** Returns a heartbeat with the next sequence number. */
    byte[] heartbeat() {
        String body = "{\"address\":\"" + address() + "\",\"born\":" + born + ",\"info\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots
                + "},\"status\":{\"state\":\"ready\",\"seq\":" + sequence.incrementAndGet()
                + ",\"cold-remaining-ms\":0}" + (keys == null ? "" : "," + keys.report()) + "}";
        return call("instances.heartbeat", body);
    }

    byte[] deregistration() {
        return call("instances.deregister", "");
    }

    /** Sends a call to the control address and returns the status of the answer. */
    int send(String host, int port, byte[] call) throws IOException {
        Http.Message answer = exchange(host, port, call);
        return answer == null ? 0 : answer.status();
    }

    private static Http.Message exchange(String host, int port, byte[] call) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(call);
            return Http.read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private byte[] call(String name, String body) {
        return ("POST /rpc?call=" + name + "&of=" + id + " HTTP/1.1\r\nHost: control\r\n"
                        + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void serve(Socket socket) throws Exception {
        try {
            serveRequests(socket);
        } finally {
            connections.remove(socket);
        }
    }

    private void serveRequests(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (!request.complete) {
                    return;
                }
                String requestId = request.header("x-siskintiller-request-id");
                String echo = "X-Siskintiller-Request-Id: " + requestId + "\r\n";
                boolean holdsKey = keys == null || keys.holds(request.header("x-siskintiller-shard-key"));
                if (!request.header("x-siskintiller-expected-instance").equals(id) || !holdsKey) {
                    Http.write(
                            socket.getOutputStream(),
                            "HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Siskintiller-Not-Executed: 1\r\n",
                            new byte[0]);
                    continue;
                }
                runs.put(requestId, record.nowMs());
                if (logsRequests) {
                    record.line("upstream " + id + " runs " + requestId);
                }
                byte[] body = work.run(request);
                if (!up) {
                    return;
                }
                Http.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 200 OK\r\n" + echo + "X-Siskintiller-Response-Seal: seal-" + requestId + "\r\n"
                                + "Keep-Alive: timeout=10\r\n",
                        body);
                if (logsRequests) {
                    record.line("upstream " + id + " has answered " + requestId + " with " + body.length + " bytes");
                }
            }
        }
    }
}
