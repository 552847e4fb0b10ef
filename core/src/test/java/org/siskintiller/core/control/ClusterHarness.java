package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;

import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.placement.SpreadPlanner;

/** Companions with an in-memory log and network on one simulated clock. Checks sole ownership after every event. */
final class ClusterHarness {
    static final long MS = 1_000_000L;
    static final String SERVICE = "lookup";

    final Map<Incarnation, Node> nodes = new LinkedHashMap<>();
    final List<LogEntry> log = new ArrayList<>();
    final Random random;
    boolean logUp = true;
    boolean loseLogResponses;
    int lossPercent;
    BiPredicate<Incarnation, Incarnation> isDropped = (from, to) -> false;
    int recordsPerSnapshot = 2_000;
    long firstRetained;
    long quiesceMs = 5;
    long nowNs;

    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private final Map<SlotId, Fence> highestFences = new HashMap<>();
    private long sequence;
    private long operations;

    ClusterHarness(long seed) {
        random = new Random(seed);
    }

    /** One companion with a minimal gate. */
    final class Node {
        final Incarnation id;
        final ControlPlane plane;
        final Map<SlotId, Fence> gate = new HashMap<>();
        final Set<Class<?>> emittedTypes = new HashSet<>();
        final List<ControlAction> actions = new ArrayList<>();
        boolean alive = true;
        boolean readsLog = true;
        long pausedUntilNs;
        long leaseExpiryNs = Long.MIN_VALUE;
        private long nextReadOffset;

        Node(long id, String domain) {
            this.id = new Incarnation(id);
            Address address = new Address("127.0.0.1", (int) (id % 60_000));
            Session session = new Session(
                    this.id,
                    "instance-" + id,
                    domain,
                    address,
                    address,
                    new BackendServer(SERVICE, address, 12, 130),
                    List.of(),
                    0,
                    -1,
                    false);
            plane = new ControlPlane(session, id, new SpreadPlanner(), recordsPerSnapshot);
        }

        void handle(ControlEvent event) {
            if (!alive) {
                return;
            }
            if (nowNs < pausedUntilNs) {
                schedule(pausedUntilNs, () -> handle(event));
                return;
            }
            for (ControlAction action : plane.handle(event, nowNs)) {
                emittedTypes.add(action.getClass());
                actions.add(action);
                execute(this, action);
            }
            checkSoleOwner();
        }

        boolean mayServe(SlotId slot) {
            return alive && gate.containsKey(slot) && nowNs < leaseExpiryNs && plane.holdsLease(nowNs);
        }

        boolean hasEmitted(Class<? extends ControlAction> type) {
            return emittedTypes.contains(type);
        }
    }

    Node add(long id, String domain) {
        Node node = new Node(id, domain);
        nodes.put(node.id, node);
        node.handle(new ControlEvent.BackendServerChanged(true));
        schedule(nowNs, () -> tick(node));
        schedule(nowNs, () -> read(node));
        return node;
    }

    void publish(int slots, int standbys, boolean idempotent, boolean checksFence) {
        ServiceConfig service =
                new ServiceConfig(SERVICE, true, idempotent, checksFence, slots, standbys, 600, "normal", 600_000);
        append(new LogRecord.ConfigPublished(
                0, new ClusterConfig(List.of(service), List.of(), List.of(), List.of(), ""), "operator"));
    }

    void append(LogRecord record) {
        log.add(new LogEntry(log.size(), new OperationId(-1, ++operations), record));
    }

    /** Runs until the condition holds and returns the simulated time in ms until then. Fails after the limit. */
    long runUntil(String expectation, long limitMs, java.util.function.BooleanSupplier condition) {
        long start = nowNs;
        while (!condition.getAsBoolean()) {
            if (nowNs - start > limitMs * MS) {
                throw new AssertionError("not within " + limitMs + " ms: " + expectation);
            }
            step();
        }
        return (nowNs - start) / MS;
    }

    void run(long durationMs) {
        long end = nowNs + durationMs * MS;
        while (!queue.isEmpty() && queue.peek().atNs <= end) {
            step();
        }
        nowNs = end;
    }

    /** Number of slots that some companion may serve now. */
    int served(int slots) {
        int count = 0;
        for (int slot = 0; slot < slots; slot++) {
            if (ownerOf(slot) != null) {
                count++;
            }
        }
        return count;
    }

    Node ownerOf(int slot) {
        for (Node node : nodes.values()) {
            if (node.mayServe(new SlotId(SERVICE, slot))) {
                return node;
            }
        }
        return null;
    }

    private void step() {
        Scheduled next = queue.poll();
        nowNs = Math.max(nowNs, next.atNs);
        next.action.run();
    }

    private void schedule(long atNs, Runnable action) {
        queue.add(new Scheduled(atNs, sequence++, action));
    }

    private void tick(Node node) {
        node.handle(new ControlEvent.Tick());
        if (node.alive) {
            schedule(nowNs + 20 * MS, () -> tick(node));
        }
    }

    private void read(Node node) {
        if (logUp && node.alive && node.readsLog) {
            node.nextReadOffset = Math.max(node.nextReadOffset, firstRetained);
            List<LogEntry> entries =
                    List.copyOf(log.subList((int) Math.min(node.nextReadOffset, log.size()), log.size()));
            node.nextReadOffset = log.size();
            node.handle(new ControlEvent.RecordsRead(entries, true));
        }
        if (node.alive) {
            schedule(nowNs + 10 * MS, () -> read(node));
        }
    }

    private void execute(Node node, ControlAction action) {
        if (action instanceof ControlAction.Send) {
            ControlAction.Send send = (ControlAction.Send) action;
            deliver(node.id, send.to(), send.message());
        } else if (action instanceof ControlAction.Append) {
            ControlAction.Append append = (ControlAction.Append) action;
            schedule(nowNs + 5 * MS, () -> store(node, append));
        } else if (action instanceof ControlAction.LeaseExtended) {
            node.leaseExpiryNs = ((ControlAction.LeaseExtended) action).expiryNs();
        } else if (action instanceof ControlAction.OpenSlots) {
            ControlAction.OpenSlots open = (ControlAction.OpenSlots) action;
            if (!node.plane.state().isOpen(node.id)) {
                throw new AssertionError(node.id + " opens slots though its session has ended");
            }
            open.slots().forEach(slot -> node.gate.put(new SlotId(open.service(), slot.slot()), slot.fence()));
        } else if (action instanceof ControlAction.CloseSlots) {
            ControlAction.CloseSlots close = (ControlAction.CloseSlots) action;
            schedule(nowNs + quiesceMs * MS, () -> reportQuiesced(node, close));
        } else if (action instanceof ControlAction.QuiesceCustomer) {
            ControlAction.QuiesceCustomer quiesce = (ControlAction.QuiesceCustomer) action;
            node.handle(new ControlEvent.CustomerQuiesced(quiesce.customer(), quiesce.removalOffset()));
        } else if (action instanceof ControlAction.Retire || action instanceof ControlAction.Stopped) {
            node.alive = false;
        }
    }

    private void reportQuiesced(Node node, ControlAction.CloseSlots close) {
        for (SlotVersion slot : close.slots()) {
            node.gate.remove(new SlotId(close.service(), slot.slot()));
        }
        node.handle(new ControlEvent.SlotsQuiesced(close.service(), close.slots()));
    }

    private void store(Node node, ControlAction.Append append) {
        if (!logUp) {
            node.handle(new ControlEvent.AppendUncertain(append.operationId()));
            return;
        }
        log.add(new LogEntry(log.size(), append.operationId(), append.record()));
        long offset = log.size() - 1;
        node.handle(
                loseLogResponses
                        ? new ControlEvent.AppendUncertain(append.operationId())
                        : new ControlEvent.AppendStored(append.operationId(), offset));
    }

    private void deliver(Incarnation from, Incarnation to, PeerMessage message) {
        Node target = nodes.get(to);
        if (target == null || isDropped.test(from, to) || random.nextInt(100) < lossPercent) {
            return;
        }
        int copies = lossPercent > 0 && random.nextInt(100) < lossPercent ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long latency = MS + (lossPercent > 0 ? (long) (random.nextDouble() * 20 * MS) : 0);
            schedule(nowNs + latency, () -> target.handle(new ControlEvent.MessageReceived(message)));
        }
    }

    /** Fails if two companions may serve one slot, or if the fence of a slot decreases. */
    private void checkSoleOwner() {
        Map<SlotId, Node> owners = new HashMap<>();
        for (Node node : nodes.values()) {
            for (Map.Entry<SlotId, Fence> slot : node.gate.entrySet()) {
                if (!node.mayServe(slot.getKey())) {
                    continue;
                }
                Node other = owners.put(slot.getKey(), node);
                if (other != null) {
                    throw new AssertionError(slot.getKey() + " may be served by " + other.id + " and " + node.id);
                }
                Fence previous = highestFences.get(slot.getKey());
                if (previous != null && slot.getValue().compareTo(previous) < 0) {
                    throw new AssertionError(slot.getKey() + " fell from fence " + previous + " to " + slot.getValue());
                }
                highestFences.put(slot.getKey(), slot.getValue());
            }
        }
    }

    /** Action to run at a time. Actions of equal time run in the order in which they were scheduled. */
    private record Scheduled(long atNs, long order, Runnable action) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = Long.compare(atNs, other.atNs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
