package org.siskintiller.core.ownership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.session.EndClaims;
import org.siskintiller.core.session.SessionTiming;

/** Requests slots from predecessors, and claims the sessions of those that do not respond. */
final class ReleaseRequests {
    private static final int MAX_SLOTS_PER_MESSAGE = 512;
    /** A live predecessor responds at once or after quiescing; a lost one has not renewed its lease by then. */
    private static final long CLAIM_AFTER_NS = SessionTiming.WITNESS_LEASE_NS;

    private final ControlContext context;
    private final EndClaims claims;
    private final Map<Incarnation, Pending> pendingByPredecessor = new LinkedHashMap<>();

    ReleaseRequests(ControlContext context, EndClaims claims) {
        this.context = context;
        this.claims = claims;
    }

    void add(Incarnation predecessor, SlotId slot, long version) {
        Pending pending = pendingByPredecessor.computeIfAbsent(predecessor, key -> new Pending(context.nowNs()));
        Long previousVersion = pending.slots
                .computeIfAbsent(slot.service(), key -> new TreeMap<>())
                .put(slot.slot(), version);
        if (previousVersion == null || previousVersion != version) {
            pending.nextSendNs = context.nowNs();
        }
    }

    void cancel(Incarnation predecessor, SlotId slot) {
        Pending pending = pendingByPredecessor.get(predecessor);
        if (pending == null) {
            return;
        }
        TreeMap<Integer, Long> slots = pending.slots.get(slot.service());
        if (slots != null) {
            slots.remove(slot.slot());
            if (slots.isEmpty()) {
                pending.slots.remove(slot.service());
            }
        }
        if (pending.slots.isEmpty()) {
            pendingByPredecessor.remove(predecessor);
        }
    }

    /** Sends the requests that are due. */
    void flush() {
        pendingByPredecessor.forEach((predecessor, pending) -> {
            if (pending.nextSendNs <= context.nowNs()) {
                pending.nextSendNs = context.nowNs() + SessionTiming.RETRY_INTERVAL_NS;
                pending.slots.forEach((service, slots) -> send(predecessor, service, slots));
                if (context.nowNs() - pending.sinceNs > CLAIM_AFTER_NS) {
                    claims.start(predecessor);
                }
            }
        });
    }

    private void send(Incarnation predecessor, String service, TreeMap<Integer, Long> slots) {
        List<SlotVersion> batch = new ArrayList<>();
        for (Map.Entry<Integer, Long> slot : slots.entrySet()) {
            batch.add(new SlotVersion(slot.getKey(), slot.getValue()));
            if (batch.size() == MAX_SLOTS_PER_MESSAGE) {
                sendBatch(predecessor, service, batch);
                batch = new ArrayList<>();
            }
        }
        if (!batch.isEmpty()) {
            sendBatch(predecessor, service, batch);
        }
    }

    private void sendBatch(Incarnation predecessor, String service, List<SlotVersion> batch) {
        context.send(
                predecessor,
                new PeerMessage.ReleaseRequest(
                        context.self(), service, batch, context.state().appliedOffset()));
    }

    /** Slots requested from one predecessor, with their versions by service. */
    private static final class Pending {
        private final Map<String, TreeMap<Integer, Long>> slots = new TreeMap<>();
        private final long sinceNs;
        private long nextSendNs;

        Pending(long sinceNs) {
            this.sinceNs = sinceNs;
            this.nextSendNs = sinceNs;
        }
    }
}
