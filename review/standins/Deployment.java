import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Small deployment on loopback: a store, and machines with a companion and an upstream each. */
final class Deployment implements AutoCloseable {
    /** Service that is divided by key. */
    static final String KEYED = "flurstueck";

    private static final int APP = Ports.free();
    private static final long BEAT_MS = 870;
    private static final String LIMITS = "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";

    /** Settings that differ between the sites, with the bounds of SYSTEM.md and grown/LATER.md. */
    enum Site {
        LAFB_MESH(4_000, 4, 2_000, 2_000, 64, 400, 2_000),
        LAFB_MESH_GROWN(5_000, 6, 2_500, 2_500, 184, 1_200, 6_000);

        private final int ackMs;
        private final int catchUpS;
        private final int drainMs;
        private final int configApplyMs;
        private final int retrySlack;
        private final int writesPerS;
        private final int readsPerS;

        Site(
                int ackMs,
                int catchUpS,
                int drainMs,
                int configApplyMs,
                int retrySlack,
                int writesPerS,
                int readsPerS) {
            this.ackMs = ackMs;
            this.catchUpS = catchUpS;
            this.drainMs = drainMs;
            this.configApplyMs = configApplyMs;
            this.retrySlack = retrySlack;
            this.writesPerS = writesPerS;
            this.readsPerS = readsPerS;
        }

        int drainMs() {
            return drainMs;
        }
    }

    /** Machine of the deployment. */
    final class Machine {
        final String host;
        final Companion companion;
        final Upstream upstream;

        private Machine(String host, Companion companion, Upstream upstream) {
            this.host = host;
            this.companion = companion;
            this.upstream = upstream;
        }
    }

    private final Path repository;
    private final Path directory;
    private final Site site;
    private final double linkMbps;
    private final Record record;
    final Store store;
    final List<Machine> machines = new ArrayList<>();

    Deployment(Path repository, Site site, double linkMbps, Record record) throws IOException {
        this.linkMbps = linkMbps;
        this.repository = repository;
        this.site = site;
        this.record = record;
        this.directory = Files.createTempDirectory("siskintiller-review");
        this.store = new Store("127.0.0.1");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            for (Machine machine : machines) {
                try {
                    machine.companion.destroy();
                } catch (InterruptedException e) {
                    return;
                }
            }
        }));
    }

    /** Adds a machine at the address 127.0.0.HOST and starts its companion and its upstream. */
    Machine add(int hostNumber, String service, int slots, Upstream.Work work) throws IOException {
        return add(hostNumber, service, slots, null, work);
    }

    /** Adds a machine whose upstream holds keys. */
    Machine add(int hostNumber, String service, int slots, HeldKeys keys, Upstream.Work work) throws IOException {
        String host = "127.0.0." + hostNumber;
        String name = "sidecar-" + hostNumber;
        Upstream upstream = new Upstream(host, APP, "i-" + hostNumber, service, "zone-a", slots, record, work);
        upstream.keys = keys;
        Companion companion = new Companion(repository, directory, name, settings(host, name, service), record);
        Machine machine = new Machine(host, companion, upstream);
        machines.add(machine);
        companion.start();
        upstream.beat(host, Companion.CONTROL, BEAT_MS);
        return machine;
    }

    /** Publishes a configuration. Each route is a JSON object. */
    void configure(int version, List<String> services, List<String> routes) {
        StringBuilder list = new StringBuilder();
        for (String service : services) {
            list.append(list.length() == 0 ? "" : ",")
                    .append("{\"name\":\"" + service + "\",\"health-check-path\":\"/health\",\"max-connections\":490,"
                            + "\"protocol\":\"h1\",\"tls\":false"
                            + (service.equals(KEYED) ? ",\"sharded\":true,\"warmup-s\":3.0,\"grants\":\"heartbeat\"}" : "}"));
        }
        String config = "{\"version\":\"" + String.format("%08x", version) + "\",\"services\":[" + list + "]," + LIMITS
                + ",\"virtual-hosts\":[{\"host\":\"jepu9.example\",\"paths\":[" + String.join(",", routes) + "]}]}";
        store.put("keyed.op", "config", config.getBytes(StandardCharsets.UTF_8));
        record.line("configuration " + version + " acknowledged by the store");
    }

    static String route(String name, String prefix, String type, int timeoutMs, int targetMs, String service) {
        return "{\"name\":\"" + name + "\",\"path-prefix\":\"" + prefix + "\",\"type\":\"" + type + "\",\"timeout-ms\":"
                + timeoutMs + ",\"target-latency-ms\":" + targetMs + ",\"priority\":1,\"service\":\"" + service
                + "\",\"max-attempts\":2}";
    }

    /** Waits until all companions are ready. */
    boolean awaitReady(long ms) throws InterruptedException {
        long untilMs = System.currentTimeMillis() + ms;
        for (Machine machine : machines) {
            while (Caller.ready(machine.host, Companion.READY) != 200) {
                if (System.currentTimeMillis() > untilMs) {
                    record.line(machine.companion.name + " is not ready in time");
                    return false;
                }
                Thread.sleep(50);
            }
        }
        return true;
    }

    @Override
    public void close() throws InterruptedException, IOException {
        for (Machine machine : machines) {
            machine.companion.destroy();
        }
        record.line("all processes ended");
        if (System.getenv("KEEP_LOGS") != null) {
            record.line("logs in " + directory);
            return;
        }
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    private String settings(String host, String name, String service) {
        return String.join(
                "\n",
                "node = \"" + name + "\"",
                "role = \"companion\"",
                "machine-class = \"sidecar\"",
                "serves = [\"sidecar\"]",
                "ip = \"" + host + "\"",
                "zone = \"zone-a\"",
                "region = \"region\"",
                "internal-ports = [" + Companion.INTERNAL + "," + (Companion.INTERNAL + 15) + "]",
                "seeds = []",
                "bootstrap = true",
                "counts-as-loss = false",
                "discovery = \"static\"",
                "entry = \"static\"",
                "heartbeat-interval-ms = " + BEAT_MS,
                "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\",\"platform\"]",
                "bounds = [\"seed-lag-s=3\",\"reuse-after-s=2\",\"stability-window-ms=3000\",\"ack-ms=" + site.ackMs
                        + "\",\"catch-up-s=" + site.catchUpS + "\",\"drain-ms=" + site.drainMs
                        + "\",\"grace-s=6\",\"lost-slack-ms=200\",\"config-apply-ms=" + site.configApplyMs
                        + "\",\"rollback-slack-ms=250\",\"max-skew-ms=5000\",\"retry-budget-ratio=0.2\","
                        + "\"retry-window-s=10\",\"retry-budget-slack=" + site.retrySlack
                        + "\",\"recovery-s=15\",\"hold-max-ms=10000\",\"thaw-slack-ms=300\"]",
                "grants = \"heartbeat\"",
                "app = \"" + host + ":" + APP + "\"",
                "service = \"" + service + "\"",
                "[zones]",
                "zone-a = \"region\"",
                "[listen]",
                "inbound = \"" + host + ":" + Companion.INBOUND + "\"",
                "outbound = \"" + host + ":" + Companion.OUTBOUND + "\"",
                "ready = \"" + host + ":" + Companion.READY + "\"",
                "control = \"" + host + ":" + Companion.CONTROL + "\"",
                "[limits]",
                "cpu-share = 0.6",
                "cores = 1",
                "memory-mb = 430",
                "max-fds = 4100",
                "link-mbps = " + linkMbps,
                "disk-mb = 0",
                "[fault-tolerance]",
                "machines = 2",
                "zones = 0",
                "regions = 0",
                "[platform]",
                "address = \"" + store.address() + "\"",
                "form = \"log\"",
                "writes-per-s = " + site.writesPerS,
                "reads-per-s = " + site.readsPerS,
                "parts = 8",
                "append-ms = 4.0",
                "part-mb-s = 20.0",
                "read-mb-s = 80.0",
                "record-bytes = 262144",
                "call-bytes = 2097152",
                "keep_s = 20",
                "part-mb = 200",
                "ttl-min-ms = 1000",
                "");
    }
}
