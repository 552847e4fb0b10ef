import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store: keyed topics with one partition, appends with an expected end, and reads that wait. */
final class StoreServer {
    private final ServerSocket server;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    /** Whether every call is rejected with 503, as by a store that is down. */
    private boolean down;
    /** Number of times that the store was restored from a copy, before the script began; 0 sends no header. */
    private int era;

    StoreServer(String ip, int port) throws IOException {
        server = new ServerSocket(port, 200, InetAddress.getByName(ip));
        Lab.daemon("store", this::accept);
    }

    /** Appends a record as the operator does. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        topic(topic).add(ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
                .put((byte) keyBytes.length)
                .put(keyBytes)
                .put(valueBytes)
                .array());
        notifyAll();
    }

    synchronized void setEra(int newEra) {
        era = newEra;
    }

    synchronized void setDown(boolean isDown) {
        down = isDown;
        notifyAll();
    }

    private synchronized boolean isDown() {
        return down;
    }

    /** Returns the value of the newest record of a key, or null. */
    synchronized byte[] newestValue(String topic, String key) {
        byte[] value = null;
        for (byte[] record : topic(topic)) {
            if (key(record).equals(key)) {
                value = value(record);
            }
        }
        return value;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Lab.daemon("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            while (true) {
                Http.Message request = Http.read(socket.getInputStream());
                if (request == null) {
                    return;
                }
                handle(request, socket);
            }
        }
    }

    private void handle(Http.Message request, Socket socket) throws Exception {
        String[] parts = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        for (String pair : parts.length < 2 ? new String[0] : parts[1].split("&")) {
            String[] entry = pair.split("=", 2);
            query.put(entry[0], URLDecoder.decode(entry.length < 2 ? "" : entry[1], StandardCharsets.UTF_8));
        }
        String topic = query.getOrDefault("topic", "");
        if (isDown()) {
            respond(socket, "503 Service Unavailable", new byte[0]);
            return;
        }
        switch (parts[0]) {
            case "/log-append" -> append(topic, query, request.body(), socket);
            case "/log-read" -> read(topic, query, socket);
            case "/log-newest" -> newest(topic, socket);
            default -> respond(socket, "404 Not Found", new byte[0]);
        }
    }

    private synchronized void append(String topic, Map<String, String> query, byte[] body, Socket socket)
            throws IOException {
        List<byte[]> records = topic(topic);
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            respond(socket, "403 Forbidden", new byte[0]);
            return;
        }
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != records.size()) {
            respond(socket, "412 Precondition Failed", json("{\"end\":" + records.size() + "}"));
            return;
        }
        int offset = records.size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
        }
        notifyAll();
        respond(socket, "200 OK", json("{\"offset\":" + offset + ",\"end\":" + records.size() + "}"));
    }

    private void read(String topic, Map<String, String> query, Socket socket) throws Exception {
        int from = Integer.parseInt(query.get("from"));
        long untilMs = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait-ms", "0"));
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        synchronized (this) {
            List<byte[]> records = topic(topic);
            while (!down && from >= records.size() && System.currentTimeMillis() < untilMs) {
                wait(Math.max(1, untilMs - System.currentTimeMillis()));
            }
            if (down) {
                respond(socket, "503 Service Unavailable", new byte[0]);
                return;
            }
            DataOutputStream out = new DataOutputStream(content);
            out.writeLong(records.size());
            out.writeLong(0);
            for (int i = from; i < records.size(); i++) {
                out.writeInt(records.get(i).length);
                out.write(records.get(i));
            }
        }
        respond(socket, "200 OK", content.toByteArray());
    }

    private synchronized void newest(String topic, Socket socket) throws IOException {
        Map<String, String> items = new LinkedHashMap<>();
        List<byte[]> records = topic(topic);
        for (int i = 0; i < records.size(); i++) {
            String value = Base64.getEncoder().encodeToString(value(records.get(i)));
            String key = key(records.get(i));
            items.remove(key);
            if (!value.isEmpty()) {
                items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"offset\":" + i + "}");
            }
        }
        String all = String.join(",", new ArrayList<>(items.values()));
        respond(socket, "200 OK", json("{\"items\":[" + all + "],\"has-more\":false,\"end\":" + records.size() + "}"));
    }

    private synchronized String eraHeader() {
        return era == 0 ? "" : "Store-Era: " + era + "\r\n";
    }

    private void respond(Socket socket, String status, byte[] body) throws IOException {
        Http.write(socket.getOutputStream(), "HTTP/1.1 " + status + "\r\n" + eraHeader(), body);
    }

    private List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, key -> new ArrayList<>());
    }

    private static String key(byte[] record) {
        return new String(record, 1, record[0], StandardCharsets.UTF_8);
    }

    private static byte[] value(byte[] record) {
        return java.util.Arrays.copyOfRange(record, 1 + record[0], record.length);
    }

    private static byte[] json(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
