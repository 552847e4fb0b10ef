import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 8. A machine with an upstream of one service is lost for good, and its address goes to a new machine with an upstream
 * of another service, the first one that this service has. Both services are divided by key. Checks ROUTE: no upstream runs a
 * request of the other service.
 */
public final class ReusedAddress {
    private static final int REQUESTS_PER_S = 60;
    /** The bound reuse-after-s is 2. */
    private static final int REUSE_AFTER_MS = 2_500;

    private static final int CALM_MS = 4_000;
    private static final int AFTER_MS = 25_000;
    private static final AtomicInteger SERVED = new AtomicInteger();

    private ReusedAddress() {}

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        lab.store.put("keyed.op", "config", CONFIG);
        List<Lab.Machine> machines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            machines.add(machine(lab, "sidecar-a-" + i, lab.newIp(), "parcels"));
        }
        Lab.await("all companions ready", 20_000, () -> machines.stream().allMatch(Lab.Machine::isReady));
        Lab.await("all keys held", 30_000, () ->
                machines.stream().mapToInt(machine -> machine.upstream.heldKeys()).sum() == 65_536);
        // The machine that last wrote to the store under a condition is lost.
        String authority = new String(lab.store.newestValue("keyed.control", "authority"), "ISO-8859-1");
        Lab.Machine lost = machines.stream()
                .filter(machine -> authority.contains(machine.name))
                .findFirst()
                .orElseThrow();
        Lab.log("to be lost", "machine", lost.name);
        Lab.Machine front = machines.stream().filter(machine -> machine != lost).findFirst().orElseThrow();
        ExecutorService clients = Executors.newCachedThreadPool();
        Lab.daemon("trouble", () -> {
            Thread.sleep(CALM_MS);
            if (Lab.TROUBLE) {
                Lab.log("trouble begins");
                lost.upstream.crash();
                lost.kill();
                Thread.sleep(REUSE_AFTER_MS);
                Lab.Machine added = machine(lab, "sidecar-b-1", lost.ip, "claims");
                Lab.await("the new upstream holds keys", 25_000, () -> added.upstream.heldKeys() > 0);
            }
        });
        long startNs = System.nanoTime();
        int sent = 0;
        while (System.nanoTime() - startNs < TimeUnit.MILLISECONDS.toNanos(CALM_MS + AFTER_MS)) {
            String id = String.format("c%08x", ++sent);
            String service = sent % 4 == 0 ? "claims" : "parcels";
            clients.execute(() -> send(front, id, service));
            Thread.sleep(1_000 / REQUESTS_PER_S);
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        int misrouted = MISROUTED.get();
        Lab.log("result", "sent", sent, "served", SERVED, "run_by_the_other_service", misrouted);
        if (SERVED.get() < sent / 4) {
            Lab.exit(2);
        }
        Lab.exit(misrouted > 0 ? 1 : 0);
    }

    private static final AtomicInteger MISROUTED = new AtomicInteger();

    private static Lab.Machine machine(Lab lab, String name, String ip, String service) throws IOException {
        Lab.Machine machine = lab.new Machine(name, ip, service);
        machine.upstream = new Checking("i-" + name, ip, service, lab.appPort(), lab.controlPort());
        machine.start();
        return machine;
    }

    private static void send(Lab.Machine front, String id, String service) {
        int key = ThreadLocalRandom.current().nextInt(65_536);
        try (Socket socket = front.connect()) {
            socket.setSoTimeout(5_000);
            Lab.log("sent", "request", id, "service", service, "key", key);
            Http.write(
                    socket.getOutputStream(),
                    "GET /" + service + "/" + id + " HTTP/1.1\r\nHost: two.example\r\nX-Siskintiller-Request-Id: " + id
                            + "\r\nX-Siskintiller-Deadline-Ms: 3000\r\nX-Siskintiller-Shard-Key: " + key + "\r\n",
                    new byte[0]);
            Http.Message answer = Http.read(socket.getInputStream());
            int status = answer == null ? 0 : answer.status();
            SERVED.addAndGet(status == 200 ? 1 : 0);
            String seal = answer == null ? "" : answer.header("x-siskintiller-response-seal");
            Lab.log("answered", "request", id, "status", status, "seal", seal);
        } catch (IOException e) {
            Lab.log("answered", "request", id, "cause", e.getMessage());
        }
    }

    /** Upstream that counts the requests of the other service that it runs. */
    private static final class Checking extends Upstream {
        private Checking(String id, String ip, String service, int port, int controlPort) throws IOException {
            super(id, ip, service, true, port, controlPort);
        }

        @Override
        long workMs(Http.Message request) {
            if (!request.target().startsWith("/" + service + "/")) {
                MISROUTED.incrementAndGet();
                Lab.log("ROUTE", "request", request.header("x-siskintiller-request-id"), "target", request.target(),
                        "run_by", id, "service", service);
            }
            return 5;
        }
    }

    private static final String CONFIG =
            """
            {"version":"00000007","services":[{"name":"parcels","health-check-path":"/health","max-connections":130,
            "protocol":"h1","tls":false,"sharded":true,"warmup-s":3.0,"grants":"heartbeat"},
            {"name":"claims","health-check-path":"/health","max-connections":130,"protocol":"h1","tls":false,
            "sharded":true,"warmup-s":3.0,"grants":"heartbeat"}],
            "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,
            "idle-timeout-ms":15000},"base-version":"00000005",
            "virtual-hosts":[{"host":"two.example","paths":[{"name":"r-parcels","path-prefix":"/parcels/","type":"safe",
            "timeout-ms":2000,"target-latency-ms":1200,"priority":1,"service":"parcels","max-attempts":2},
            {"name":"r-claims","path-prefix":"/claims/","type":"safe","timeout-ms":2000,"target-latency-ms":1200,
            "priority":1,"service":"claims","max-attempts":2}]}]}
            """;
}
