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
 * Case 10. The busy keys of a service that is divided by key change often. At the end all companions are killed and started
 * again. Checks RECOVER: a quarter of the requests sent later than recovery-s after that is served.
 */
public final class HotKeys {
    private static final int UPSTREAMS = 4;
    /** Share of the requests for the busy keys, and their number. The site file has 0.44 and 200. */
    private static final double HOT_SHARE = 0.44;

    private static final int HOT_KEYS = 200;
    /** Time after which other keys are busy. The site file has up to 5.7 s for one set of keys. */
    private static final int HOT_MS = 1_000;

    private static final int WORK_MS = 50;
    /** Nine tenths of what the upstreams can serve. */
    private static final int REQUESTS_PER_S = 900;

    private static final int MAX_TROUBLE_MS = 84_000;
    /** The bound recovery-s is 15. */
    private static final int RECOVERY_MS = 15_000;

    private static final int MEASURE_MS = 3_000;
    private static final double MIN_SERVED = 0.25;

    private static final AtomicInteger SENT_BEFORE = new AtomicInteger();
    private static final AtomicInteger SERVED_BEFORE = new AtomicInteger();
    private static final AtomicInteger SENT_AFTER = new AtomicInteger();
    private static final AtomicInteger SERVED_AFTER = new AtomicInteger();
    private static final ExecutorService CLIENTS = Executors.newCachedThreadPool();

    private HotKeys() {}

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        // The store was restored from a copy once, some time before. Fences are longer since.
        lab.store.setEra(1);
        lab.store.put("keyed.op", "config", CONFIG);
        List<Lab.Machine> machines = new ArrayList<>();
        for (int i = 1; i <= UPSTREAMS; i++) {
            machines.add(machine(lab, "sidecar-a-" + i));
        }
        Lab.await("all companions ready", 20_000, () -> machines.stream().allMatch(Lab.Machine::isReady));
        Lab.await("all keys held", 30_000, () ->
                machines.stream().mapToInt(machine -> machine.upstream.heldKeys()).sum() == 65_536);
        send(machines, MAX_TROUBLE_MS, SENT_BEFORE, SERVED_BEFORE);
        Lab.log("all companions are killed", "answers", answers(machines));
        for (Lab.Machine machine : machines) {
            machine.kill();
        }
        for (Lab.Machine machine : machines) {
            machine.start();
        }
        Lab.await("all companions ready", 10_000, () -> machines.stream().allMatch(Lab.Machine::isReady));
        Thread.sleep(RECOVERY_MS);
        send(machines, MEASURE_MS, SENT_AFTER, SERVED_AFTER);
        CLIENTS.shutdown();
        CLIENTS.awaitTermination(4, TimeUnit.SECONDS);
        Lab.log("answers to heartbeats, bytes/held keys", "answers", answers(machines));
        double before = (double) SERVED_BEFORE.get() / SENT_BEFORE.get();
        double after = (double) SERVED_AFTER.get() / SENT_AFTER.get();
        Lab.log("result", "sent", SENT_BEFORE, "served_share", before, "sent_later", SENT_AFTER, "served_share_later",
                after);
        if (before < MIN_SERVED) {
            Lab.exit(2);
        }
        Lab.exit(after < MIN_SERVED ? 1 : 0);
    }

    private static Lab.Machine machine(Lab lab, String name) throws IOException {
        Lab.Machine machine = lab.new Machine(name, lab.newIp(), "parcels");
        machine.upstream = new Upstream("i-" + name, machine.ip, "parcels", true, lab.appPort(), lab.controlPort()) {
            @Override
            long workMs(Http.Message request) {
                return WORK_MS;
            }
        };
        machine.start();
        return machine;
    }

    private static List<String> answers(List<Lab.Machine> machines) {
        return machines.stream()
                .map(machine -> machine.upstream.answerBytes + "/" + machine.upstream.heldKeys())
                .toList();
    }

    /** Sends requests at a constant rate, with busy keys if there is trouble. */
    private static void send(List<Lab.Machine> machines, int lengthMs, AtomicInteger sent, AtomicInteger served)
            throws InterruptedException {
        long startNs = System.nanoTime();
        int hotFrom = 0;
        long set = -1;
        long elapsedNs = 0;
        while (elapsedNs < TimeUnit.MILLISECONDS.toNanos(lengthMs)) {
            if (elapsedNs / 1_000_000 / HOT_MS != set) {
                set = elapsedNs / 1_000_000 / HOT_MS;
                hotFrom = ThreadLocalRandom.current().nextInt(65_536 - HOT_KEYS);
                if (set % 5 == 0) {
                    Lab.log("busy keys", "from", hotFrom, "answers", answers(machines), "served", served);
                }
            }
            boolean isHot = Lab.TROUBLE && ThreadLocalRandom.current().nextDouble() < HOT_SHARE;
            int key = isHot
                    ? hotFrom + ThreadLocalRandom.current().nextInt(HOT_KEYS)
                    : ThreadLocalRandom.current().nextInt(65_536);
            int number = sent.incrementAndGet();
            String id = String.format("c%x%07x", lengthMs, number);
            Lab.Machine front = machines.get(number % machines.size());
            CLIENTS.execute(() -> request(front, id, key, served));
            long aheadNs = startNs + number * 1_000_000_000L / REQUESTS_PER_S - System.nanoTime();
            if (aheadNs > 0) {
                TimeUnit.NANOSECONDS.sleep(aheadNs);
            }
            elapsedNs = System.nanoTime() - startNs;
        }
    }

    private static void request(Lab.Machine front, String id, int key, AtomicInteger served) {
        try (Socket socket = front.connect()) {
            socket.setSoTimeout(5_000);
            Http.write(
                    socket.getOutputStream(),
                    "GET /parcels/" + id + " HTTP/1.1\r\nHost: parcels.example\r\nX-Siskintiller-Request-Id: " + id
                            + "\r\nX-Siskintiller-Deadline-Ms: 3000\r\nX-Siskintiller-Shard-Key: " + key + "\r\n",
                    new byte[0]);
            Http.Message answer = Http.read(socket.getInputStream());
            int status = answer == null ? 0 : answer.status();
            served.addAndGet(status == 200 ? 1 : 0);
            Lab.log("answered", "request", id, "key", key, "status", status);
        } catch (IOException e) {
            Lab.log("answered", "request", id, "key", key, "cause", e.getMessage());
        }
    }

    private static final String CONFIG =
            """
            {"version":"00000007","services":[{"name":"parcels","health-check-path":"/health","max-connections":130,
            "protocol":"h1","tls":false,"sharded":true,"warmup-s":3.0,"grants":"heartbeat"}],
            "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,
            "idle-timeout-ms":15000},"base-version":"00000005",
            "virtual-hosts":[{"host":"parcels.example","paths":[{"name":"r-parcels","path-prefix":"/parcels/","type":"safe",
            "timeout-ms":1500,"target-latency-ms":500,"priority":1,"service":"parcels","max-attempts":2}]}]}
            """;
}
