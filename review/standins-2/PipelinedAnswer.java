import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 9. Clients send a download behind a safe request on a kept connection. Some upstreams of the downloads break off a
 * part of their answers. Checks LOST for the first request of each pair, which a sound upstream of another service runs.
 */
public final class PipelinedAnswer {
    /** Share of its answers that the faulty upstream breaks off. The site file has 0.02. */
    private static final double BROKEN = 0.02;
    /** Largest download of the site file. */
    private static final int DOWNLOAD_BYTES = 540_000;

    private static final int WORK_MS = 200;
    private static final int ROUNDS = 8;
    private static final int TROUBLE_MS = 6_500;
    private static final int CALM_MS = 3_500;
    private static final int PAIRS_PER_S = 50;
    /** LOST allows three requests. */
    private static final int ALLOWED = 3;

    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger BROKEN_OFF = new AtomicInteger();
    private static volatile boolean troubled;

    private PipelinedAnswer() {}

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        lab.store.put("keyed.op", "config", CONFIG);
        List<Lab.Machine> machines = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            machines.add(machine(lab, "sidecar-a-" + i, "lookup"));
        }
        for (int i = 1; i <= 2; i++) {
            machines.add(machine(lab, "sidecar-b-" + i, "export"));
        }
        Lab.Machine front = machine(lab, "sidecar-c-1", "front");
        machines.add(front);
        Lab.await("all companions ready", 20_000, () -> machines.stream().allMatch(Lab.Machine::isReady));
        Thread.sleep(3_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        long startNs = System.nanoTime();
        long endMs = ROUNDS * (TROUBLE_MS + CALM_MS);
        int sent = 0;
        while (true) {
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
            if (elapsedMs >= endMs) {
                break;
            }
            boolean inTrouble = Lab.TROUBLE && elapsedMs % (TROUBLE_MS + CALM_MS) >= CALM_MS;
            if (inTrouble != troubled) {
                // One of the two upstreams of the downloads becomes faulty: the one that has had more of them so far.
                Answering first = (Answering) machines.get(2).upstream;
                Answering second = (Answering) machines.get(3).upstream;
                first.isFaulty = first.served.get() >= second.served.get();
                second.isFaulty = !first.isFaulty;
                troubled = inTrouble;
                Lab.log(troubled ? "trouble begins" : "trouble ends");
            }
            String id = String.format("c%07x", ++sent);
            clients.execute(() -> sendPair(front, id));
            Thread.sleep(1_000 / PAIRS_PER_S);
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        Lab.log(
                "result", "pairs", sent, "answered", ANSWERED, "broken_off", BROKEN_OFF, "lost", LOST, "allowed", ALLOWED);
        if (ANSWERED.get() < sent / 2) {
            Lab.exit(2);
        }
        Lab.exit(LOST.get() > ALLOWED ? 1 : 0);
    }

    private static Lab.Machine machine(Lab lab, String name, String service) throws IOException {
        Lab.Machine machine = lab.new Machine(name, lab.newIp(), service);
        machine.upstream = new Answering("i-" + name, machine.ip, service, lab.appPort(), lab.controlPort());
        machine.start();
        return machine;
    }

    /** Sends one request, then a pair without waiting for the answer to its first request. */
    private static void sendPair(Lab.Machine front, String id) {
        try (Socket socket = front.connect()) {
            socket.setSoTimeout(6_000);
            socket.getOutputStream().write(request("/lookup/", id + "0"));
            Http.Message first = Http.read(socket.getInputStream());
            if (first == null || first.header("connection").equalsIgnoreCase("close")) {
                return;
            }
            // The connection is kept from here on.
            byte[] lookup = request("/lookup/", id + "1");
            byte[] export = request("/export/", id + "2");
            byte[] both = Arrays.copyOf(lookup, lookup.length + export.length);
            System.arraycopy(export, 0, both, lookup.length, export.length);
            Lab.log("sent", "requests", id + "1," + id + "2");
            socket.getOutputStream().write(both);
            awaitPair(socket, id);
        } catch (IOException e) {
            Lab.log("answered", "requests", id, "cause", e.getMessage());
        }
    }

    private static void awaitPair(Socket socket, String id) {
        try {
            Http.Message answer = Http.read(socket.getInputStream());
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            Lab.log("answered", "request", id + "1", "status", answer.status());
            ANSWERED.incrementAndGet();
        } catch (IOException e) {
            boolean hasRun = !Lab.runs(id + "1").isEmpty();
            Lab.log("answered", "request", id + "1", "cause", e.getMessage(), "passed_on", hasRun);
            if (hasRun) {
                LOST.incrementAndGet();
                Lab.log("LOST", "request", id + "1", "run_by", Lab.runs(id + "1"));
            }
            return;
        }
        try {
            Http.Message answer = Http.read(socket.getInputStream());
            Lab.log("answered", "request", id + "2", "status", answer == null ? 0 : answer.status());
        } catch (IOException e) {
            Lab.log("answered", "request", id + "2", "cause", e.getMessage());
        }
    }

    private static byte[] request(String prefix, String id) {
        return ("GET " + prefix + id + " HTTP/1.1\r\nHost: mix.example\r\nX-Siskintiller-Request-Id: " + id
                        + "\r\nX-Siskintiller-Deadline-Ms: 3000\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Upstream that breaks off some of its downloads in times of trouble. */
    private static final class Answering extends Upstream {
        private final AtomicInteger served = new AtomicInteger();
        private volatile boolean isFaulty;

        private Answering(String id, String ip, String service, int port, int controlPort) throws IOException {
            super(id, ip, service, false, port, controlPort);
        }

        @Override
        long workMs(Http.Message request) {
            return service.equals("lookup") && request.target().endsWith("1") ? WORK_MS : 5;
        }

        @Override
        byte[] body(Http.Message request) {
            return service.equals("export") ? new byte[DOWNLOAD_BYTES] : super.body(request);
        }

        @Override
        boolean write(Socket socket, String head, byte[] body) throws IOException {
            served.incrementAndGet();
            if (!isFaulty || !troubled || ThreadLocalRandom.current().nextDouble() >= BROKEN) {
                return super.write(socket, head, body);
            }
            BROKEN_OFF.incrementAndGet();
            int bytes = ThreadLocalRandom.current().nextInt(body.length);
            Lab.log("broken off", "at", id, "after_bytes", bytes);
            socket.getOutputStream()
                    .write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body, 0, bytes);
            socket.getOutputStream().flush();
            return false;
        }
    }

    private static final String CONFIG =
            """
            {"version":"00000007","services":[{"name":"lookup","health-check-path":"/health","max-connections":130,
            "protocol":"h1","tls":false},{"name":"export","health-check-path":"/health","max-connections":130,
            "protocol":"h1","tls":false},{"name":"front","health-check-path":"/health","max-connections":130,
            "protocol":"h1","tls":false}],
            "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,
            "idle-timeout-ms":15000},"base-version":"00000005",
            "virtual-hosts":[{"host":"mix.example","paths":[{"name":"r-lookup","path-prefix":"/lookup/","type":"safe",
            "timeout-ms":2000,"target-latency-ms":800,"priority":1,"service":"lookup","max-attempts":2},
            {"name":"r-export","path-prefix":"/export/","type":"download","timeout-ms":2500,"target-latency-ms":800,
            "priority":1,"service":"export","max-attempts":2}]}]}
            """;
}
