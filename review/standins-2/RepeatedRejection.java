import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Case 7. Upstreams of a service divided by key turn a part of their requests away although they have free slots, and one
 * of them sends some of its answers a second time, late. Checks TWICE and REFUSED for requests that are not idempotent.
 */
public final class RepeatedRejection {
    private static final String SERVICE = "ledger";
    /** Share of the requests that an upstream turns away. The site file has 0.45. */
    private static final double SHED = 0.45;
    /** Share of its answers that the faulty upstream sends twice. The site file has 0.03. */
    private static final double EXTRA = 0.03;

    private static final int ROUNDS = 8;
    private static final int TROUBLE_MS = 5_000;
    private static final int CALM_MS = 4_000;
    private static final int REQUESTS_PER_S = 250;

    private static volatile boolean troubled;

    private RepeatedRejection() {}

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        lab.store.put("keyed.op", "config", CONFIG);
        List<Lab.Machine> machines = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            machines.add(machine(lab, "sidecar-a-" + i, SERVICE, i == 1));
        }
        Lab.Machine front = machine(lab, "sidecar-b-1", "front", false);
        machines.add(front);
        Lab.await("all companions ready", 20_000, () -> machines.stream().allMatch(Lab.Machine::isReady));
        Lab.await("all keys held", 30_000, () ->
                machines.get(0).upstream.heldKeys() + machines.get(1).upstream.heldKeys() == 65_536);
        Thread.sleep(2_000);
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
                troubled = inTrouble;
                Lab.log(troubled ? "trouble begins" : "trouble ends");
            }
            String id = String.format("c%08x", ++sent);
            clients.execute(() -> send(front, id));
            Thread.sleep(1_000 / REQUESTS_PER_S);
        }
        troubled = false;
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        // "runs later" counts as well.
        Thread.sleep(3_000);
        judge(sent);
    }

    private static Lab.Machine machine(Lab lab, String name, String service, boolean isFaulty) throws IOException {
        Lab.Machine machine = lab.new Machine(name, lab.newIp(), service);
        machine.upstream = new Shedding(
                "i-" + name, machine.ip, service, service.equals(SERVICE), lab.appPort(), lab.controlPort(), isFaulty);
        machine.start();
        return machine;
    }

    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();

    /** Sends a request of a kind that must not run twice, on a new connection, and waits for the answer. */
    private static void send(Lab.Machine front, String id) {
        int key = ThreadLocalRandom.current().nextInt(65_536);
        try (Socket socket = front.connect()) {
            socket.setSoTimeout(5_000);
            Lab.log("sent", "request", id, "key", key);
            Http.write(
                    socket.getOutputStream(),
                    "POST /book/" + id + " HTTP/1.1\r\nHost: ledger.example\r\nX-Siskintiller-Request-Id: " + id
                            + "\r\nX-Siskintiller-Deadline-Ms: 3000\r\nX-Siskintiller-Shard-Key: " + key + "\r\n",
                    ("amount " + id).getBytes());
            Http.Message answer = Http.read(socket.getInputStream());
            int status = answer == null ? 0 : answer.status();
            ANSWERS.put(id, status);
            Lab.log("answered", "request", id, "status", status);
        } catch (IOException e) {
            ANSWERS.put(id, 0);
            Lab.log("answered", "request", id, "cause", e.getMessage());
        }
    }

    private static void judge(int sent) {
        int refusedAndRun = 0;
        int twice = 0;
        int served = 0;
        for (Map.Entry<String, Integer> answer : ANSWERS.entrySet()) {
            int runs = Lab.runs(answer.getKey()).size();
            served += answer.getValue() == 200 ? 1 : 0;
            boolean isPromise = List.of(429, 503, 408, 421).contains(answer.getValue());
            if (isPromise && runs > 0) {
                refusedAndRun++;
                Lab.log("REFUSED", "request", answer.getKey(), "status", answer.getValue(), "runs", runs);
            }
            if (runs > 1) {
                twice++;
                Lab.log("TWICE", "request", answer.getKey(), "status", answer.getValue(), "runs", runs);
            }
        }
        Lab.log("result", "sent", sent, "served", served, "twice", twice, "refused_and_run", refusedAndRun);
        if (served < sent / 3) {
            Lab.exit(2);
        }
        Lab.exit(twice + refusedAndRun > 0 ? 1 : 0);
    }

    /** Upstream that turns requests away in times of trouble and may repeat its answers. */
    private static final class Shedding extends Upstream {
        private final boolean isFaulty;
        /** Answers that follow late, at the point where the next answer of the connection is expected. */
        private final Map<Socket, Queue<byte[]>> late = new ConcurrentHashMap<>();

        private Shedding(
                String id, String ip, String service, boolean sharded, int port, int controlPort, boolean isFaulty)
                throws IOException {
            super(id, ip, service, sharded, port, controlPort);
            this.isFaulty = isFaulty;
        }

        @Override
        boolean sheds(Http.Message request) {
            return troubled && ThreadLocalRandom.current().nextDouble() < SHED;
        }

        @Override
        void received(Socket socket, Http.Message request) throws IOException {
            Queue<byte[]> answers = late.remove(socket);
            if (answers != null) {
                for (byte[] answer : answers) {
                    socket.getOutputStream().write(answer);
                    Lab.log("extra answer", "at", id, "before", request.header("x-siskintiller-request-id"));
                }
            }
        }

        @Override
        boolean write(Socket socket, String head, byte[] body) throws IOException {
            if (isFaulty && troubled && ThreadLocalRandom.current().nextDouble() < EXTRA) {
                java.io.ByteArrayOutputStream copy = new java.io.ByteArrayOutputStream();
                Http.write(copy, head, body);
                late.computeIfAbsent(socket, key -> new ConcurrentLinkedQueue<>()).add(copy.toByteArray());
            }
            return super.write(socket, head, body);
        }
    }

    private static final String CONFIG =
            """
            {"version":"00000007","services":[{"name":"ledger","health-check-path":"/health","max-connections":130,
            "protocol":"h1","tls":false,"sharded":true,"warmup-s":3.0,"grants":"heartbeat"},
            {"name":"front","health-check-path":"/health","max-connections":130,"protocol":"h1","tls":false}],
            "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,
            "idle-timeout-ms":15000},"base-version":"00000005",
            "virtual-hosts":[{"host":"ledger.example","paths":[{"name":"r-book","path-prefix":"/book/","type":"unsafe",
            "timeout-ms":2000,"target-latency-ms":1200,"priority":1,"service":"ledger","max-attempts":3}]}]}
            """;
}
