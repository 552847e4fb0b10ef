package org.siskintiller.core.gate;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.siskintiller.core.control.ControlAction.OpenSlot;
import org.siskintiller.core.idempotency.IdempotencyKey;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;

/**
 * Simulates the gates of one slot under a seeded schedule of requests, repeats, crashes, pauses, moves, and lost, late
 * and duplicate store responses. Checks the invariants on each decision.
 */
final class RecordSimulation {
    static final SlotId SLOT = new SlotId("desk", 0);

    private static final BackendServer BACKEND = new BackendServer("desk", new Address("127.0.0.1", 1), 32, 100);
    private static final long MS = 1_000_000;
    private static final long LEASE_MS = 1_200;
    /** Most recent keys that repeats use. They reach back about 3 s, so that many repeats follow a takeover. */
    private static final int REPEATED_KEYS = 800;

    final Map<String, Integer> counts = new HashMap<>();

    private final Random random;
    private final boolean storeBeforeDispatch;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<RequestRecord> log = new ArrayList<>();
    private final List<GateRequest> sentRequests = new ArrayList<>();
    private final Map<RequestId, GateRequest> requests = new HashMap<>();
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Set<RequestId> executed = new HashSet<>();
    private final Set<RequestId> refusedNotRun = new HashSet<>();
    private final Set<RequestId> respondedIds = new HashSet<>();
    private final List<Node> nodes = new ArrayList<>();
    /** Of this many store messages, one is lost and one is acknowledged late. Without losses the log is hardly used. */
    private final int messagesPerLoss;

    private long nowMs = 1_000;
    private long nextId;
    private Node owner;
    private Node standby;
    private long version = 1;
    private int candidate;
    private Node moveTarget;
    private long takeoverMs = Long.MAX_VALUE - 10_000;

    RecordSimulation(long seed, boolean storeBeforeDispatch) {
        this.random = new Random(seed);
        this.storeBeforeDispatch = storeBeforeDispatch;
        this.messagesPerLoss = seed % 2 == 0 ? 40 : 2_000;
        owner = new Node();
        standby = new Node();
        open(owner, true, false);
    }

    /** Runs the schedule until every request has its response. */
    void run(long durationMs) {
        long endMs = nowMs + durationMs;
        after(1, () -> request(endMs));
        after(500, () -> fault(endMs));
        after(1, () -> tick(endMs + 5_000));
        while (!tasks.isEmpty()) {
            Task task = tasks.poll();
            nowMs = task.atMs;
            task.action.run();
        }
        for (Map.Entry<RequestId, GateRequest> request : requests.entrySet()) {
            check(respondedIds.contains(request.getKey()), "no response to " + request);
        }
    }

    private void request(long endMs) {
        if (nowMs >= endMs) {
            return;
        }
        after(1 + random.nextInt(4), () -> request(endMs));
        GateRequest request;
        RequestId id = new RequestId(0, ++nextId);
        long deadlineNs = (nowMs + 20 + random.nextInt(400)) * MS;
        if (!sentRequests.isEmpty() && random.nextInt(10) < 4) {
            int newest = sentRequests.size() - 1 - random.nextInt(Math.min(sentRequests.size(), REPEATED_KEYS));
            request = request(id, sentRequests.get(newest).idempotencyKey(), deadlineNs);
        } else {
            long timestampMs = 1_000_000 + nowMs + random.nextInt(2_000) - 1_000;
            IdempotencyKey key = IdempotencyKey.of(timestampMs, random.nextLong(), random.nextLong());
            request = request(id, key.text(), deadlineNs);
            sentRequests.add(request);
        }
        Node target = random.nextInt(20) == 0 ? nodes.get(random.nextInt(nodes.size())) : owner;
        if (target.alive) {
            target.pendingIds.add(id);
            requests.put(id, request);
            deliver(target, new GateEvent.Arrived(request));
            if (random.nextInt(30) == 0) {
                after(random.nextInt(20), () -> disconnectCaller(target, id));
            }
        }
    }

    private void disconnectCaller(Node node, RequestId id) {
        if (!respondedIds.contains(id) && node.alive) {
            respondedIds.add(id);
            count("disconnected callers");
            deliver(node, new GateEvent.CallerDisconnected(id));
        }
    }

    private static GateRequest request(RequestId id, String key, long deadlineNs) {
        return new GateRequest(
                id, "desk", SLOT, "c", "r", false, key, false, key.hashCode(), deadlineNs, id.low(), List.of());
    }

    private void fault(long endMs) {
        if (nowMs >= endMs) {
            return;
        }
        after(LEASE_MS + 800 + random.nextInt(1_500), () -> fault(endMs));
        switch (random.nextInt(5)) {
            case 0:
                crash(owner);
                takeOver("takeovers after a crash");
                break;
            case 1:
                owner.renewsLease = false;
                takeOver("takeovers after a pause");
                break;
            case 2:
                crash(standby);
                standby = new Node();
                count("new standbys");
                after(random.nextInt(300), () -> open(owner, true, false));
                break;
            case 3:
                crash(owner);
                crash(standby);
                count("double losses");
                Node replacement = new Node();
                after(LEASE_MS + 50, () -> {
                    version++;
                    candidate = 0;
                    becomeOwner(replacement, false);
                });
                break;
            default:
                moveTarget = new Node();
                count("moves");
                deliver(owner, new GateEvent.SlotsClosing("desk", List.of(new SlotVersion(0, version + 1))));
                break;
        }
    }

    private void takeOver(String counter) {
        count(counter);
        Node next = standby;
        after(LEASE_MS + 50, () -> {
            candidate++;
            // The lost owner transferred no records; only the gate knows whether it was a synchronised standby.
            becomeOwner(next, false);
            takeoverMs = nowMs;
        });
    }

    private void becomeOwner(Node next, boolean recordsComplete) {
        boolean readStream = owner.recordsInLog;
        owner = next;
        owner.renewsLease = true;
        standby = new Node();
        open(owner, recordsComplete, readStream);
    }

    private void crash(Node node) {
        node.alive = false;
        // The ingress companion detects the broken connection and responds to its callers.
        respondedIds.addAll(node.pendingIds);
    }

    private void open(Node node, boolean recordsComplete, boolean readStream) {
        if (!node.alive || node != owner || moveTarget != null) {
            return;
        }
        deliver(node, new GateEvent.LeaseExtended((nowMs + LEASE_MS) * MS));
        deliver(
                node,
                new GateEvent.SlotsOpened(
                        "desk",
                        List.of(new OpenSlot(0, new Fence(version, candidate))),
                        standby.id,
                        recordsComplete,
                        readStream));
    }

    private void tick(long endMs) {
        if (nowMs < endMs) {
            after(10, () -> tick(endMs));
        }
        for (Node node : List.copyOf(nodes)) {
            if (node.alive && node.renewsLease && nowMs % 400 < 10) {
                deliver(node, new GateEvent.LeaseExtended((nowMs + LEASE_MS) * MS));
            }
            deliver(node, new GateEvent.Tick());
        }
        nodes.removeIf(node -> !node.alive && node != owner);
    }

    private void deliver(Node node, GateEvent event) {
        if (node.alive) {
            for (GateDecision decision : node.gate.handle(event, nowMs * MS, 1_000_000 + nowMs + node.skewMs)) {
                apply(node, decision);
            }
        }
    }

    private void apply(Node node, GateDecision decision) {
        if (decision instanceof GateDecision.Dispatch) {
            after(random.nextInt(5), () -> write(node, ((GateDecision.Dispatch) decision).id()));
        } else if (decision instanceof GateDecision.Refuse) {
            refused(node, (GateDecision.Refuse) decision);
        } else if (decision instanceof GateDecision.Replay) {
            replayed(node, (GateDecision.Replay) decision);
        } else if (decision instanceof GateDecision.StoreAtStandby) {
            storeAtStandby(node, (GateDecision.StoreAtStandby) decision);
        } else if (decision instanceof GateDecision.StoreInLog) {
            storeInLog(node, (GateDecision.StoreInLog) decision);
        } else if (decision instanceof GateDecision.RequestRecordsInLog) {
            after(5, () -> {
                node.recordsInLog = node.alive;
                deliver(node, new GateEvent.RecordsInLogConfirmed());
            });
        } else if (decision instanceof GateDecision.ReadRequestsStream) {
            count("stream reads");
            after(10 + random.nextInt(300), () -> {
                deliver(node, new GateEvent.RecordsReceived(false, log));
                deliver(node, new GateEvent.RequestsStreamRead());
            });
        } else if (decision instanceof GateDecision.SlotsQuiesced) {
            Node next = moveTarget;
            after(2, () -> {
                moveTarget = null;
                version++;
                candidate = 0;
                deliver(next, new GateEvent.RecordsReceived(true, ((GateDecision.SlotsQuiesced) decision).records()));
                becomeOwner(next, true);
            });
        }
    }

    private void write(Node node, RequestId id) {
        if (!node.alive) {
            return;
        }
        if (!node.gate.mayDispatch(id, nowMs * MS)) {
            deliver(node, new GateEvent.Finished(id, new DispatchOutcome.NotRun("denied")));
            return;
        }
        int roll = random.nextInt(20);
        if (roll >= 2 || roll == 1 && random.nextBoolean()) {
            after(random.nextInt(10), () -> execute(id));
        }
        Bytes body = Bytes.copyOf(id.toString().getBytes(StandardCharsets.UTF_8));
        DispatchOutcome outcome = roll == 0
                ? new DispatchOutcome.NotRun("shed")
                : roll == 1
                        ? new DispatchOutcome.Broken("connection reset")
                        : roll == 2
                                ? new DispatchOutcome.TimedOut()
                                : new DispatchOutcome.Answered(200, "text/plain", body, MS);
        after(10 + random.nextInt(30), () -> {
            if (roll > 2 && node.alive) {
                respondedIds.add(id);
            }
            deliver(node, new GateEvent.Finished(id, outcome));
        });
    }

    private void execute(RequestId id) {
        executed.add(id);
        int runCount = runsByKey.merge(requests.get(id).idempotencyKey(), 1, Integer::sum);
        check(runCount == 1, "AT_MOST_ONCE: " + requests.get(id) + " ran " + runCount + " times");
        check(!refusedNotRun.contains(id), "NOT_RUN_IS_TRUE: " + id + " ran after its refusal");
        count("runs");
        // Without a record, the caller's key would be refused for the clock skew of 5 s.
        if (nowMs > takeoverMs && nowMs < takeoverMs + 1_500) {
            count("runs soon after a takeover");
        }
    }

    private void refused(Node node, GateDecision.Refuse refuse) {
        recordResponse(node, refuse.id());
        count(refuse.refusal().kind().name());
        if (refuse.refusal().kind().outcome() == RefusalKind.Outcome.NOT_RUN) {
            refusedNotRun.add(refuse.id());
            check(!executed.contains(refuse.id()), "NOT_RUN_IS_TRUE: " + refuse + " although it ran");
        }
    }

    private void replayed(Node node, GateDecision.Replay replay) {
        recordResponse(node, replay.id());
        count("replays");
        String key = requests.get(replay.id()).idempotencyKey();
        check(replay.record().idempotencyKey().equals(key), "replay of another key");
        check(runsByKey.getOrDefault(key, 0) == 1, "replay of a request that did not run: " + replay);
    }

    private void recordResponse(Node node, RequestId id) {
        node.pendingIds.remove(id);
        check(respondedIds.add(id), "second response to " + id);
    }

    private void storeAtStandby(Node node, GateDecision.StoreAtStandby store) {
        count(store.reset() ? "synchronisations" : "copies");
        Node target = nodes.stream()
                .filter(other -> other.id.equals(store.standby()))
                .findFirst()
                .orElse(null);
        boolean lost = random.nextInt(messagesPerLoss) == 0;
        if (target != null && !lost) {
            // Messages of one connection keep their order.
            node.lastArrivalMs = Math.max(node.lastArrivalMs, nowMs + random.nextInt(4));
            long delayMs = node.lastArrivalMs - nowMs;
            GateEvent received = new GateEvent.RecordsReceived(store.reset(), store.records());
            boolean lostWithSender = random.nextBoolean();
            after(delayMs, () -> {
                if (!node.alive && lostWithSender) {
                    return;
                }
                deliver(target, received);
                int roll = random.nextInt(messagesPerLoss);
                if (target.alive && roll > 0) {
                    long ackMs = roll == 1 ? 60 + random.nextInt(200) : random.nextInt(3);
                    after(ackMs, () -> deliver(node, new GateEvent.RecordsStored(store.sequence())));
                    if (roll < messagesPerLoss / 4) {
                        after(ackMs + 5, () -> deliver(node, new GateEvent.RecordsStored(store.sequence())));
                        after(ackMs + random.nextInt(500), () -> deliver(target, received));
                    }
                    if (roll > 1) {
                        node.ackedInTime.add(store.sequence());
                    }
                }
            });
        }
        after(50, () -> {
            if (!node.ackedInTime.contains(store.sequence())) {
                deliver(node, new GateEvent.RecordsNotStored(store.sequence()));
            }
        });
    }

    private void storeInLog(Node node, GateDecision.StoreInLog store) {
        count("log appends");
        check(node.recordsInLog, "append before the witnesses confirmed records in the log");
        int roll = random.nextInt(10);
        if (roll > 0) {
            // An append may take effect, even later, although its response is lost.
            boolean lostWithSender = random.nextBoolean();
            after(roll == 1 ? random.nextInt(500) : random.nextInt(25), () -> {
                if (node.alive || !lostWithSender) {
                    log.addAll(store.records());
                }
            });
        }
        GateEvent response = roll > 1
                ? new GateEvent.RecordsStored(store.sequence())
                : new GateEvent.RecordsNotStored(store.sequence());
        after(30 + random.nextInt(100), () -> deliver(node, response));
    }

    private void after(long delayMs, Runnable action) {
        tasks.add(new Task(nowMs + delayMs, ++nextTask, action));
    }

    private long nextTask;

    private void count(String counter) {
        counts.merge(counter, 1, Integer::sum);
    }

    private static void check(boolean condition, String detail) {
        if (!condition) {
            throw new AssertionError(detail);
        }
    }

    /** Companion with its gate. */
    private final class Node {
        private final Incarnation id = new Incarnation(random.nextLong());
        private final Gate gate = new Gate(BACKEND, id, storeBeforeDispatch);
        private final long skewMs = random.nextInt(4_000) - 2_000;
        private final Set<RequestId> pendingIds = new HashSet<>();
        private final Set<Long> ackedInTime = new HashSet<>();
        private long lastArrivalMs;
        private boolean alive = true;
        private boolean renewsLease = true;
        private boolean recordsInLog;

        Node() {
            nodes.add(this);
        }
    }

    /** Action at a virtual time. */
    private record Task(long atMs, long sequence, Runnable action) implements Comparable<Task> {

        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
