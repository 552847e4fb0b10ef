import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Application upstream: sends heartbeats, holds the keys that it is granted, and runs the requests that it receives. */
class Upstream {
    static final int SLOTS = 12;
    private static final int HEARTBEAT_MS = 870;
    private static final int RELEASING_HEARTBEAT_MS = 90;
    private static final int MAX_ANSWER_BYTES = 4_096;
    private static final Pattern ROW =
            Pattern.compile("\\[(\\d+),(\\d+),(\\d+),\"([^\"]*)\"\\]");
    private static final Pattern HOLD_MS = Pattern.compile("\"hold-ms\":(\\d+)");

    final String id;
    final String ip;
    final String service;
    final boolean sharded;
    private final int port;
    private final int controlPort;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final AtomicInteger running = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private volatile boolean ended;
    private volatile List<long[]> rows = List.of();
    private volatile long holdEndNs;
    private long sequence;
    /** Keys of the requests that run. */
    private final Map<String, Integer> runningKeys = new ConcurrentHashMap<>();
    /** Ranges that were taken back while requests may still run on their keys. */
    private final List<long[]> releasing = new ArrayList<>();
    /** Ranges that were released since the last acknowledged heartbeat, as rows with their handover tokens. */
    private final List<String> released = new ArrayList<>();
    /** Size of the last answer to a heartbeat, which acknowledges it only up to 4 KiB. */
    volatile int answerBytes;

    volatile long lastAcknowledgedNs = System.nanoTime();

    Upstream(String id, String ip, String service, boolean sharded, int port, int controlPort) throws IOException {
        this.id = id;
        this.ip = ip;
        this.service = service;
        this.sharded = sharded;
        this.port = port;
        this.controlPort = controlPort;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
        Lab.daemon("upstream", this::accept);
        Lab.daemon("heartbeats", this::sendHeartbeats);
    }

    /** Ends at once. */
    void crash() throws IOException {
        ended = true;
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    int heldKeys() {
        int keys = 0;
        for (long[] row : System.nanoTime() < holdEndNs ? rows : List.<long[]>of()) {
            keys += (int) (row[1] - row[0] + 1);
        }
        return keys;
    }

    boolean holds(int key) {
        if (System.nanoTime() >= holdEndNs) {
            return false;
        }
        return rows.stream().anyMatch(row -> row[0] <= key && key <= row[1]);
    }

    /** Time for which a request runs. */
    long workMs(Http.Message request) {
        return 5;
    }

    /** Body of the response to a request. */
    byte[] body(Http.Message request) {
        return ("answer " + request.header("x-siskintiller-request-id")).getBytes(StandardCharsets.UTF_8);
    }

    /** Whether the upstream turns the request away although it has free slots. */
    boolean sheds(Http.Message request) {
        return false;
    }

    /** Writes a response. Returns false if the connection ends with it. */
    boolean write(Socket socket, String head, byte[] body) throws IOException {
        Http.write(socket.getOutputStream(), head, body);
        return true;
    }

    /** Runs before the request is looked at. */
    void received(Socket socket, Http.Message request) throws IOException {}

    private void accept() throws IOException {
        while (!ended) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Lab.daemon("upstream-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            while (true) {
                Http.Message request = Http.read(socket.getInputStream());
                if (request == null || !handle(socket, request)) {
                    return;
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean handle(Socket socket, Http.Message request) throws Exception {
        String requestId = request.header("x-siskintiller-request-id");
        if (request.target().equals("/health")) {
            return write(socket, "HTTP/1.1 200 OK\r\nX-Siskintiller-Instance-Id: " + id + "\r\n", new byte[0]);
        }
        received(socket, request);
        String common = "X-Siskintiller-Request-Id: " + requestId + "\r\nKeep-Alive: timeout=10\r\n";
        String expected = request.header("x-siskintiller-expected-instance");
        String keyText = request.header("x-siskintiller-shard-key");
        boolean isHeld = !sharded || !keyText.isEmpty() && holds(Integer.parseInt(keyText));
        if (!expected.isEmpty() && !expected.equals(id) || !isHeld) {
            Lab.log("not run", "request", requestId, "at", id, "status", 421, "expected", expected);
            return write(
                    socket,
                    "HTTP/1.1 421 Misdirected Request\r\n" + common + "X-Siskintiller-Not-Executed: 1\r\n"
                            + "X-Siskintiller-Instance-Id: " + id + "\r\n" + load(),
                    new byte[0]);
        }
        if (running.get() >= SLOTS || sheds(request)) {
            Lab.log("not run", "request", requestId, "at", id, "status", 503);
            return write(
                    socket,
                    "HTTP/1.1 503 Service Unavailable\r\n" + common + "X-Siskintiller-Not-Executed: 1\r\n" + load(),
                    new byte[0]);
        }
        running.incrementAndGet();
        if (sharded) {
            runningKeys.put(requestId, Integer.parseInt(keyText));
        }
        try {
            Lab.ran(requestId, this, request);
            Thread.sleep(workMs(request));
        } finally {
            running.decrementAndGet();
            runningKeys.remove(requestId);
        }
        String head = "HTTP/1.1 200 OK\r\n" + common + "X-Siskintiller-Response-Seal: seal-" + id + "-" + requestId
                + "\r\n" + load();
        return write(socket, head, body(request));
    }

    private String load() {
        return "X-Siskintiller-Server-Load: " + running.get() + ",0," + SLOTS + "\r\n";
    }

    private void sendHeartbeats() throws Exception {
        while (!ended) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, controlPort), 1_000);
                socket.setSoTimeout(1_000);
                long sentNs = System.nanoTime();
                String path = "/rpc?call=instances.heartbeat&of=" + id;
                Http.write(
                        socket.getOutputStream(),
                        "POST " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nContent-Type: application/json\r\n",
                        heartbeat().getBytes(StandardCharsets.UTF_8));
                Http.Message answer = Http.read(socket.getInputStream());
                boolean isTimely = System.nanoTime() - sentNs < 1_000_000_000L;
                if (answer != null && answer.status() == 200 && isTimely) {
                    answerBytes = answer.body().length;
                    if (answerBytes <= MAX_ANSWER_BYTES) {
                        lastAcknowledgedNs = System.nanoTime();
                        released.clear();
                        applyAnswer(new String(answer.body(), StandardCharsets.UTF_8), sentNs);
                    }
                }
            } catch (IOException e) {
                // The companion is down or late. The next heartbeat follows.
            }
            Thread.sleep(releasing.isEmpty() ? HEARTBEAT_MS : RELEASING_HEARTBEAT_MS);
        }
    }

    private String heartbeat() {
        List<String> holds = new ArrayList<>();
        for (long[] row : System.nanoTime() < holdEndNs ? rows : List.<long[]>of()) {
            holds.add("[" + row[0] + "," + row[1] + "," + row[2] + "]");
        }
        for (long[] row : List.copyOf(releasing)) {
            if (runningKeys.values().stream().anyMatch(key -> row[0] <= key && key <= row[1])) {
                holds.add("[" + row[0] + "," + row[1] + "," + row[2] + "]");
            } else {
                releasing.remove(row);
                String token = String.format("%016x", java.util.concurrent.ThreadLocalRandom.current().nextLong());
                released.add("[" + row[0] + "," + row[1] + ",\"" + token + "\"]");
            }
        }
        String lists = sharded ? ",\"holds\":[" + String.join(",", holds) + "],\"released\":[" + String.join(",", released) + "]" : "";
        return "{\"address\":\"" + ip + ":" + port + "\",\"born\":" + born + ",\"info\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":" + SLOTS + "},\"status\":{\"state\":\"ready\",\"seq\":"
                + ++sequence + ",\"cold-remaining-ms\":0}" + lists + "}";
    }

    private void applyAnswer(String content, long sentNs) {
        Matcher hold = HOLD_MS.matcher(content);
        if (!sharded || !hold.find()) {
            return;
        }
        List<long[]> granted = new ArrayList<>();
        Matcher row = ROW.matcher(content);
        while (row.find()) {
            granted.add(new long[] {
                Long.parseLong(row.group(1)), Long.parseLong(row.group(2)), Long.parseLong(row.group(3))
            });
        }
        if (System.nanoTime() < holdEndNs) {
            for (long[] held : rows) {
                addOmitted(held, granted);
            }
        }
        holdEndNs = sentNs + Long.parseLong(hold.group(1)) * 1_000_000;
        rows = List.copyOf(granted);
    }

    /** Adds the parts of a row that the new rows leave out to those that are being released. */
    private void addOmitted(long[] row, List<long[]> granted) {
        long next = row[0];
        for (long[] other : granted) {
            if (other[1] < next || other[0] > row[1]) {
                continue;
            }
            if (other[0] > next) {
                releasing.add(new long[] {next, other[0] - 1, row[2]});
            }
            next = Math.max(next, other[1] + 1);
        }
        if (next <= row[1]) {
            releasing.add(new long[] {next, row[1], row[2]});
        }
    }
}
