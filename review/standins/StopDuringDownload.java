import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Clients download exports over the link of their machine, and the companion of that machine is stopped with SIGTERM
 * while the upstream works on them. The answers must arrive completely.
 */
public final class StopDuringDownload {
    /** "8.4 to 140 Mbit/s" in grown/LATER.md. */
    private static final double MIN_LINK_MBPS = 8.4;

    private static final double MAX_LINK_MBPS = 140;
    /** Time in which the exports pass the link together. */
    private static final double PASS_S = 4.2;
    /**
     * The exports are this much larger than the buffers of a client's connection, so that the last part of each waits in
     * the companion until the client has taken a part of the buffers.
     */
    private static final int[] BYTES_BEYOND_BUFFERS = {40_000, 75_000, 110_000, 145_000, 180_000};
    /** "work ms" and "deadline ms" of raster-export in grown/LATER.md. */
    private static final int WORK_MS = 162;

    private static final int DEADLINE_MS = 5_723;
    /** The companion is stopped this long after the requests were sent. */
    private static final int STOP_AFTER_MS = 60;
    /** Time without a disruption before the requests: more than stability-window-ms, 3,000. */
    private static final int CALM_MS = 4_500;

    private StopDuringDownload() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int bufferBytes = SocketBuffers.capacityBytes("127.0.0.41", Link.WINDOW_BYTES);
        int totalBytes = 0;
        for (int beyond : BYTES_BEYOND_BUFFERS) {
            totalBytes += bufferBytes + beyond;
        }
        double linkMbps = Math.max(MIN_LINK_MBPS, totalBytes * 8 / 1e6 / PASS_S);
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Deployment deployment = new Deployment(
                        Path.of(arguments[0]), Deployment.Site.LAFB_MESH_GROWN, linkMbps, record)) {
            record.line("exports of " + bufferBytes + " bytes and more, link of " + Math.round(linkMbps) + " Mbit/s");
            record.line("disruption: " + (trouble ? "SIGTERM to one companion" : "none, TROUBLE=0"));
            deployment.configure(7, List.of("kartenwerk", "meldung"), List.of(
                    Deployment.route("r-export", "/fiti832/", "download", DEADLINE_MS, 916, "kartenwerk")));
            Deployment.Machine machine = deployment.add(41, "kartenwerk", 8, request -> {
                Thread.sleep(WORK_MS);
                return new byte[Integer.parseInt(request.uri().replaceAll(".*/", ""))];
            });
            deployment.add(42, "meldung", 8, request -> new byte[0]);
            if (linkMbps <= MAX_LINK_MBPS && deployment.awaitReady(30_000)) {
                Thread.sleep(CALM_MS);
                Link link = new Link("127.0.0.1", machine.host, Companion.OUTBOUND, linkMbps);
                exit = play(machine, link, bufferBytes, trouble, record);
            }
        }
        System.exit(exit);
    }

    private static int play(
            Deployment.Machine machine, Link link, int bufferBytes, boolean trouble, Record record) throws Exception {
        Map<String, Caller.Result> results = new ConcurrentHashMap<>();
        CountDownLatch open = new CountDownLatch(BYTES_BEYOND_BUFFERS.length);
        for (int beyond : BYTES_BEYOND_BUFFERS) {
            int bytes = bufferBytes + beyond;
            String id = "export-" + bytes;
            Threads.start("client", () -> {
                record.line("client sends " + id + ", deadline " + DEADLINE_MS + " ms");
                Caller.Result result = Caller.send(
                        "127.0.0.1", link.port(), "GET", "jepu9.example", "/fiti832/ti23/" + bytes, id, DEADLINE_MS, null);
                record.line("client has for " + id + ": status " + result.status() + ", " + result.body().length
                        + " bytes, " + (result.complete() ? "complete" : "cut") + ", after " + result.ms() + " ms "
                        + result.error());
                results.put(id, result);
                open.countDown();
            });
        }
        Thread.sleep(STOP_AFTER_MS);
        if (trouble) {
            machine.companion.signal("TERM");
        }
        if (!open.await(DEADLINE_MS + 2_000, TimeUnit.MILLISECONDS)) {
            record.line("not every client has an end of its answer");
            return 2;
        }
        if (trouble) {
            machine.companion.awaitEnd(8_000);
        }
        List<String> lost = new ArrayList<>();
        boolean allWhole = true;
        for (Map.Entry<String, Caller.Result> entry : results.entrySet()) {
            Caller.Result result = entry.getValue();
            allWhole &= result.status() == 200 && result.complete() && result.sealed();
            boolean passedOn = machine.upstream.runs.containsKey(entry.getKey());
            if (passedOn && !result.complete() && !result.deadlinePassed()) {
                lost.add(entry.getKey() + " " + (DEADLINE_MS - result.ms()) + " ms before its deadline");
            }
        }
        if (!trouble) {
            record.line(allWhole ? "LOST holds" : "a download fails without the disruption");
            return allWhole ? 0 : 2;
        }
        record.line(lost.isEmpty() ? "LOST holds" : "LOST is broken: passed on and cut: " + lost);
        return lost.isEmpty() ? 0 : 1;
    }
}
