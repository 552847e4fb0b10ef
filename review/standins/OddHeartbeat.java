import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Two upstreams hold the keys of a service. One heartbeat of another writer, without the field "address", arrives at the
 * control address beside one of them. It names no upstream to use, so that nothing may change.
 */
public final class OddHeartbeat {
    private static final int CALM_MS = 4_000;
    private static final int WATCH_MS = 8_000;
    /** "Two upstreams that are up hold the same keys for over half a second" */
    private static final int MAX_SHARED_MS = 500;

    private OddHeartbeat() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Deployment deployment = new Deployment(
                        Path.of(arguments[0]), Deployment.Site.LAFB_MESH, 1_000, record)) {
            record.line("disruption: " + (trouble ? "one heartbeat without an address" : "none, TROUBLE=0"));
            exit = play(deployment, trouble, record);
        }
        System.exit(exit);
    }

    private static int play(Deployment deployment, boolean trouble, Record record) throws Exception {
        deployment.configure(7, List.of(Deployment.KEYED, "meldung"), List.of(
                Deployment.route("r-lookup", "/lepu270/", "safe", 3_000, 500, Deployment.KEYED)));
        List<HeldKeys> holders = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            HeldKeys keys = new HeldKeys("i-" + (21 + i), record);
            holders.add(keys);
            deployment.add(21 + i, Deployment.KEYED, 12, keys, request -> {
                Thread.sleep(20);
                return new byte[1_500];
            });
        }
        deployment.add(23, "meldung", 12, request -> new byte[100]);
        if (!deployment.awaitReady(30_000)) {
            return 2;
        }
        long untilMs = record.nowMs() + 20_000;
        while (keysOf(holders.get(0)) + keysOf(holders.get(1)) < 65_536 || keysOf(holders.get(0)) == 0) {
            if (record.nowMs() > untilMs) {
                record.line("the keys are not held in time");
                return 2;
            }
            Thread.sleep(50);
        }
        record.line("all keys are held");
        Thread.sleep(CALM_MS);
        if (trouble) {
            Deployment.Machine machine = deployment.machines.get(0);
            awaitRenewal(holders.get(0));
            String body = "{\"born\":" + System.currentTimeMillis()
                    + ",\"info\":{\"service\":\"" + Deployment.KEYED
                    + "\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":12},\"status\":{\"state\":\"draining\","
                    + "\"seq\":1,\"cold-remaining-ms\":0}}";
            String call = "POST /rpc?call=instances.heartbeat&of=i-7f3a91c2 HTTP/1.1\r\nHost: control\r\n"
                    + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            record.line("another writer sends to " + machine.host + ": " + body);
            int status = machine.upstream.send(
                    machine.host, Companion.CONTROL, call.getBytes(StandardCharsets.ISO_8859_1));
            record.line("it is answered " + status);
        }
        long sharedSinceMs = -1;
        long longestMs = 0;
        long endMs = record.nowMs() + WATCH_MS;
        while (record.nowMs() < endMs) {
            HeldKeys.Row shared = shared(holders);
            if (shared == null) {
                if (sharedSinceMs >= 0) {
                    record.line("no key is held by both any more");
                }
                sharedSinceMs = -1;
            } else {
                if (sharedSinceMs < 0) {
                    sharedSinceMs = record.nowMs();
                    record.line("keys from " + shared.from() + " to " + shared.to() + " are held by both upstreams");
                }
                longestMs = Math.max(longestMs, record.nowMs() - sharedSinceMs);
            }
            Thread.sleep(5);
        }
        record.line("at the end the upstreams hold " + keysOf(holders.get(0)) + " and " + keysOf(holders.get(1)) + " keys");
        record.line("keys were held by both for " + longestMs + " ms, allowed " + MAX_SHARED_MS);
        record.line(longestMs > MAX_SHARED_MS ? "OWNER is broken" : "OWNER holds");
        return longestMs > MAX_SHARED_MS ? 1 : 0;
    }

    /** Waits until the hold of the keys is extended, so that it lasts for some seconds. */
    private static void awaitRenewal(HeldKeys keys) throws InterruptedException {
        List<HeldKeys.Row> before = keys.held();
        while (keys.held().equals(before)) {
            Thread.sleep(5);
        }
    }

    private static int keysOf(HeldKeys keys) {
        return keys.held().stream().mapToInt(row -> row.to() - row.from() + 1).sum();
    }

    /** Returns a row of the second upstream that the first one holds too, or null. */
    private static HeldKeys.Row shared(List<HeldKeys> holders) {
        for (HeldKeys.Row first : holders.get(0).held()) {
            for (HeldKeys.Row second : holders.get(1).held()) {
                if (first.overlaps(second)) {
                    return second;
                }
            }
        }
        return null;
    }
}
