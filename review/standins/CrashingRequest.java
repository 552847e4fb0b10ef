import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each upstream that begins to run it, and comes again. After two crashes the system refuses it. Then
 * companions are stopped and started in turn, and the request comes again at the machine of each.
 */
public final class CrashingRequest {
    /** Upstreams of "meldung" on lafb-mesh. */
    private static final int MACHINES = 5;
    /** All machines in turn, and two of them once more. */
    private static final int RESTARTS = 7;
    /** "the upstream is back after some seconds" */
    private static final int BACK_AFTER_MS = 2_500;
    /** More than stability-window-ms, 3,000: the machines are in touch again. */
    private static final int CALM_MS = 3_500;

    private static final int SEND_INTERVAL_MS = 200;
    /** Time in which the request is sent to machines that refuse it, before the restarts. */
    private static final int REFUSED_PHASE_MS = 2_000;
    /** Maximum time until two crashes before the restarts. */
    private static final int FIRST_PHASE_MS = 6_000;
    /** Time for which the request comes again after each restart, unless it crashes an upstream before. */
    private static final int PHASE_MS = 5_000;

    private static final int STABILITY_WINDOW_MS = 3_000;
    private static final int MAX_RETRIES = 3;
    private static final int DEADLINE_MS = 2_000;
    private static final int FIRST_HOST = 51;
    /** Ordinary requests: one each 100 ms at each machine, with the "work ms" of decl-amend on lafb-mesh. */
    private static final int ORDINARY_INTERVAL_MS = 100;

    private static final int WORK_MS = 210;

    /** A run of the crashing request. */
    private record Run(long atMs, String upstream, String requestId) {}

    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final Record record;
    private final List<Long> cutOrdinaryMs = new CopyOnWriteArrayList<>();
    private final AtomicInteger ordinary = new AtomicInteger();
    private int sent;

    private CrashingRequest(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Deployment deployment = new Deployment(
                        Path.of(arguments[0]), Deployment.Site.LAFB_MESH, 1_000, record)) {
            record.line("disruption: " + (trouble ? "companions are stopped and started in turn" : "none, TROUBLE=0"));
            exit = new CrashingRequest(record).play(deployment, trouble);
        }
        System.exit(exit);
    }

    private int play(Deployment deployment, boolean trouble) throws Exception {
        deployment.configure(7, List.of("meldung"), List.of(
                Deployment.route("r-amend", "/xapu221/", "unsafe", 4_000, 1_200, "meldung")));
        for (int i = 0; i < MACHINES; i++) {
            int number = i;
            upstreams.add(deployment.add(FIRST_HOST + i, "meldung", 12, request -> run(number, request)).upstream);
        }
        if (!deployment.awaitReady(30_000)) {
            return 2;
        }
        Thread.sleep(CALM_MS);
        for (int i = 0; i < MACHINES; i++) {
            sendOrdinary(deployment.machines.get(i).host);
        }
        sendRepeatedly(deployment, 0, FIRST_PHASE_MS, 2);
        Thread.sleep(BACK_AFTER_MS);
        sendRepeatedly(deployment, 0, REFUSED_PHASE_MS, Integer.MAX_VALUE);
        int before = runs.size();
        record.line("the request has run " + before + " times before the restarts");
        if (before < 2) {
            return 2;
        }
        for (int i = 0; i < RESTARTS; i++) {
            Companion companion = deployment.machines.get(i % MACHINES).companion;
            if (trouble) {
                companion.signal("TERM");
                companion.awaitEnd(8_000);
                companion.start();
            }
            if (!deployment.awaitReady(20_000)) {
                return 2;
            }
            Thread.sleep(CALM_MS);
            sendRepeatedly(deployment, i % MACHINES, PHASE_MS, runs.size() + 1);
            Thread.sleep(BACK_AFTER_MS);
        }
        return judge();
    }

    private byte[] run(int number, Http.Message request) throws Exception {
        if (request.uri().endsWith("/poison")) {
            String id = request.header("x-siskintiller-request-id");
            runs.add(new Run(record.nowMs(), upstreams.get(number).id, id));
            upstreams.get(number).crash(BACK_AFTER_MS);
            return new byte[0];
        }
        Thread.sleep(WORK_MS);
        return new byte[1_500];
    }

    /** Sends ordinary requests, each with a body of its own, to a machine while it is ready. */
    private void sendOrdinary(String host) {
        Threads.start("ordinary-clients", () -> {
            while (true) {
                Thread.sleep(ORDINARY_INTERVAL_MS);
                if (Caller.ready(host, Companion.READY) != 200) {
                    continue;
                }
                int number = ordinary.incrementAndGet();
                Threads.start("ordinary-client", () -> {
                    Caller.Result result = Caller.send(
                            host, Companion.OUTBOUND, "POST", "jepu9.example", "/xapu221/amend", "amend-" + number,
                            DEADLINE_MS, ("amendment " + number).getBytes());
                    if (result.status() == 502) {
                        cutOrdinaryMs.add(record.nowMs());
                        record.line("client at " + host + " has for amend-" + number + ": 502, it was running");
                    }
                });
            }
        });
    }

    /** Lets the request come again at the given machine and at others by turns, until it has run often enough. */
    private void sendRepeatedly(Deployment deployment, int machine, int ms, int maxRuns)
            throws InterruptedException {
        long endMs = record.nowMs() + ms;
        while (record.nowMs() < endMs && runs.size() < maxRuns) {
            send(deployment, sent % 2 == 0 ? machine : sent / 2 % MACHINES);
            Thread.sleep(SEND_INTERVAL_MS);
        }
    }

    /** Sends the request with the same path, caller and body. */
    private void send(Deployment deployment, int machine) {
        String id = "poison-" + sent++;
        record.line("client at " + deployment.machines.get(machine).host + " sends " + id);
        Caller.Result result = Caller.send(
                deployment.machines.get(machine).host, Companion.OUTBOUND, "POST", "jepu9.example", "/xapu221/poison", id,
                DEADLINE_MS, "declaration".getBytes());
        record.line("client has for " + id + ": " + result.status() + " " + result.error());
    }

    private int judge() {
        record.line("runs of the request: " + runs);
        int retries = 0;
        for (Run run : runs) {
            boolean counts = runs.size() > 2 && run.atMs() > runs.get(2).atMs() + STABILITY_WINDOW_MS;
            retries += counts ? 1 : 0;
        }
        record.line("retries that reached upstreams later than " + STABILITY_WINDOW_MS + " ms after the third crash: "
                + retries + ", allowed " + MAX_RETRIES);
        long cut = cutOrdinaryMs.stream()
                .filter(atMs -> runs.size() > 2 && atMs >= runs.get(2).atMs())
                .count();
        record.line("of " + ordinary + " ordinary requests, " + cutOrdinaryMs.size()
                + " ended with 502 because their upstream crashed, " + cut + " of them from the third crash on");
        record.line(retries > MAX_RETRIES ? "BUDGET is broken" : "BUDGET holds");
        return retries > MAX_RETRIES ? 1 : 0;
    }
}
