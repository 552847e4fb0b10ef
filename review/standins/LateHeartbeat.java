import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An upstream leaves with a deregistration, which its companion acknowledges. The companion is killed and started again,
 * and a heartbeat that was sent before the deregistration arrives late. No request may reach the upstream any more.
 */
public final class LateHeartbeat {
    private static final int CALM_MS = 4_000;
    private static final int DRAIN_MS = 2_000;
    private static final int STABILITY_WINDOW_MS = 3_000;
    /** "A heartbeat may arrive seconds late." */
    private static final int HEARTBEAT_LATE_MS = 3_000;
    private static final int KILL_AFTER_ACK_MS = 200;
    private static final int RESTART_DELAY_MS = 300;
    /** "It continues serving for drain-ms after the acknowledgement and a little longer (at times many seconds)." */
    private static final int SERVES_AFTER_ACK_MS = 7_000;
    private static final int DEADLINE_MS = 1_000;

    private LateHeartbeat() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Deployment deployment = new Deployment(
                        Path.of(arguments[0]), Deployment.Site.LAFB_MESH, 1_000, record)) {
            record.line("disruption: " + (trouble ? "SIGKILL to the companion of the upstream" : "none, TROUBLE=0"));
            exit = play(deployment, trouble, record);
        }
        System.exit(exit);
    }

    private static int play(Deployment deployment, boolean trouble, Record record) throws Exception {
        deployment.configure(7, List.of("meldung", "kartenwerk"), List.of(
                Deployment.route("r-amend", "/xapu221/", "unsafe", 4_000, 1_200, "meldung")));
        Upstream.Work work = request -> {
            Thread.sleep(210);
            return new byte[1_500];
        };
        Deployment.Machine entry = deployment.add(31, "kartenwerk", 12, work);
        Deployment.Machine leaving = deployment.add(32, "meldung", 12, work);
        deployment.add(33, "meldung", 12, work);
        if (!deployment.awaitReady(30_000)) {
            return 2;
        }
        Thread.sleep(CALM_MS);
        Threads.start("clients", () -> {
            for (int i = 0; true; i++) {
                String id = "amend-" + i;
                Threads.start(id, () -> {
                    Caller.Result result = Caller.send(
                            entry.host, Companion.OUTBOUND, "POST", "jepu9.example", "/xapu221/ny95/2f", id, DEADLINE_MS,
                            new byte[2_000]);
                    record.line("client at " + entry.host + " has for " + id + ": " + result.status() + " "
                            + result.error());
                });
                Thread.sleep(25);
            }
        });
        Thread.sleep(1_000);
        Upstream upstream = leaving.upstream;
        upstream.beating = false;
        Thread.sleep(100);
        byte[] late = upstream.heartbeat();
        record.line("upstream " + upstream.id + " sends a heartbeat that arrives " + HEARTBEAT_LATE_MS + " ms late");
        long sentMs = record.nowMs();
        int acknowledgement = upstream.send(leaving.host, Companion.CONTROL, upstream.deregistration());
        long acknowledgedMs = record.nowMs();
        record.line("deregistration of " + upstream.id + " answered " + acknowledgement);
        if (acknowledgement != 200) {
            return 2;
        }
        long restartedMs = 0;
        if (trouble) {
            Thread.sleep(KILL_AFTER_ACK_MS);
            leaving.companion.signal("KILL");
            leaving.companion.awaitEnd(2_000);
            Thread.sleep(RESTART_DELAY_MS);
            leaving.companion.start();
            restartedMs = record.nowMs();
        }
        Thread.sleep(Math.max(0, sentMs + HEARTBEAT_LATE_MS - record.nowMs()));
        record.line("the late heartbeat is answered " + upstream.send(leaving.host, Companion.CONTROL, late));
        Thread.sleep(Math.max(0, acknowledgedMs + SERVES_AFTER_ACK_MS - record.nowMs()));
        List<String> broken = new ArrayList<>();
        for (Map.Entry<String, Long> run : upstream.runs.entrySet()) {
            boolean afterDrain = run.getValue() > acknowledgedMs + DRAIN_MS;
            if (afterDrain && run.getValue() > restartedMs + STABILITY_WINDOW_MS) {
                broken.add(run.getKey() + " " + (run.getValue() - acknowledgedMs) + " ms after the acknowledgement");
            }
        }
        record.line("reached the upstream later than " + DRAIN_MS + " ms after the acknowledgement, all machines in touch: "
                + broken);
        record.line(broken.isEmpty() ? "DRAIN holds" : "DRAIN is broken");
        return broken.isEmpty() ? 0 : 1;
    }
}
