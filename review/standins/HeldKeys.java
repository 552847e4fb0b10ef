import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Keys that an upstream holds, as "Keys that upstreams hold" in PROTOCOL.md has them. */
final class HeldKeys {
    private static final Pattern ROW =
            Pattern.compile("\\[\\s*(\\d+)\\s*,\\s*(\\d+)\\s*,\\s*(\\d+)\\s*,\\s*\"([^\"]*)\"\\s*\\]");
    private static final Pattern HOLD_MS = Pattern.compile("\"hold-ms\"\\s*:\\s*(\\d+)");
    private static final int KEYS = 65_536;

    /** Range that is held until the given time. */
    record Row(int from, int to, long fence, long untilNs) {
        boolean overlaps(Row other) {
            return from <= other.to && other.from <= to;
        }
    }

    private final String name;
    private final Record record;
    private final long[] highestFence = new long[KEYS];
    private List<Row> rows = List.of();
    private final StringBuilder released = new StringBuilder();

    HeldKeys(String name, Record record) {
        this.name = name;
        this.record = record;
    }

    synchronized boolean holds(String key) {
        int number = key.isEmpty() ? -1 : Integer.parseInt(key);
        return held().stream().anyMatch(row -> row.from <= number && number <= row.to);
    }

    /** Rows that are held now. */
    synchronized List<Row> held() {
        long nowNs = System.nanoTime();
        return rows.stream().filter(row -> nowNs < row.untilNs).toList();
    }

    /** Lists of a heartbeat. */
    synchronized String report() {
        StringBuilder holds = new StringBuilder();
        for (Row row : held()) {
            holds.append(holds.length() == 0 ? "" : ",").append("[" + row.from + "," + row.to + "," + row.fence + "]");
        }
        String report = "\"holds\":[" + holds + "],\"released\":[" + released + "]";
        released.setLength(0);
        return report;
    }

    /** Applies the answer to a heartbeat. Returns whether something is released, which the next heartbeat reports. */
    synchronized boolean answered(Http.Message answer, long sentNs) {
        long nowNs = System.nanoTime();
        String json = new String(answer.body, StandardCharsets.UTF_8);
        Matcher holdMs = HOLD_MS.matcher(json);
        boolean inTime = nowNs - sentNs <= 1_000_000_000L && answer.status() / 100 == 2;
        if (!inTime || !json.contains("\"holds\"") || !holdMs.find()) {
            return false;
        }
        long untilNs = sentNs + Long.parseLong(holdMs.group(1)) * 1_000_000;
        List<Row> next = new ArrayList<>();
        Matcher row = ROW.matcher(json);
        while (row.find()) {
            Row granted = new Row(
                    Integer.parseInt(row.group(1)),
                    Integer.parseInt(row.group(2)),
                    Long.parseLong(row.group(3)),
                    untilNs);
            if (accepts(granted)) {
                next.add(granted);
            }
        }
        List<Row> before = held();
        for (Row old : before) {
            if (next.stream().noneMatch(kept -> kept.overlaps(old))) {
                released.append(released.length() == 0 ? "" : ",")
                        .append("[" + old.from + "," + old.to + ",\"handover-" + name + "-" + old.from + "\"]");
            }
        }
        boolean changed = next.size() != before.size();
        for (int i = 0; !changed && i < next.size(); i++) {
            changed = next.get(i).fence != before.get(i).fence;
        }
        rows = next;
        if (changed) {
            StringBuilder text = new StringBuilder();
            next.forEach(kept -> text.append(" [" + kept.from + "," + kept.to + "," + kept.fence + "]"));
            record.line("upstream " + name + " holds" + text + " for " + holdMs.group(1) + " ms");
        }
        return released.length() > 0;
    }

    /** "A row is not accepted if the upstream has seen a higher fencing token on one of its keys." */
    private boolean accepts(Row row) {
        for (int key = row.from; key <= row.to; key++) {
            if (highestFence[key] > row.fence) {
                return false;
            }
        }
        for (int key = row.from; key <= row.to; key++) {
            highestFence[key] = row.fence;
        }
        return true;
    }
}
