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

/** Asks predecessors for slots, and claims those that do not answer. */
final class ReleaseRequests {
    private static final int SLOTS_PER_MESSAGE = 512;
    /** A predecessor that lives answers at once or quiesces; a lost one cannot renew its lease for this long. */
    private static final long CLAIM_AFTER_NS = SessionTiming.WITNESS_LEASE_NS;

    private final ControlContext context;
    private final EndClaims claims;
    private final Map<Incarnation, Wanted> wanted = new LinkedHashMap<>();

    ReleaseRequests(ControlContext context, EndClaims claims) {
        this.context = context;
        this.claims = claims;
    }

    void want(Incarnation predecessor, SlotId slot, long version) {
        Wanted from = wanted.computeIfAbsent(predecessor, key -> new Wanted(context.nowNs()));
        Long known = from.slots
                .computeIfAbsent(slot.service(), key -> new TreeMap<>())
                .put(slot.slot(), version);
        if (known == null || known != version) {
            from.nextNs = context.nowNs();
        }
    }

    void unwant(Incarnation predecessor, SlotId slot) {
        Wanted from = wanted.get(predecessor);
        if (from == null) {
            return;
        }
        TreeMap<Integer, Long> slots = from.slots.get(slot.service());
        if (slots != null) {
            slots.remove(slot.slot());
            if (slots.isEmpty()) {
                from.slots.remove(slot.service());
            }
        }
        if (from.slots.isEmpty()) {
            wanted.remove(predecessor);
        }
    }

    /** Sends what is due. */
    void flush() {
        wanted.forEach((predecessor, from) -> {
            if (from.nextNs <= context.nowNs()) {
                from.nextNs = context.nowNs() + SessionTiming.RETRY_INTERVAL_NS;
                from.slots.forEach((service, slots) -> send(predecessor, service, slots));
                if (context.nowNs() - from.sinceNs > CLAIM_AFTER_NS) {
                    claims.start(predecessor);
                }
            }
        });
    }

    private void send(Incarnation predecessor, String service, TreeMap<Integer, Long> slots) {
        List<SlotVersion> batch = new ArrayList<>();
        for (Map.Entry<Integer, Long> each : slots.entrySet()) {
            batch.add(new SlotVersion(each.getKey(), each.getValue()));
            if (batch.size() == SLOTS_PER_MESSAGE) {
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

    /** Slots wanted from one predecessor. */
    private static final class Wanted {
        private final Map<String, TreeMap<Integer, Long>> slots = new TreeMap<>();
        private final long sinceNs;
        private long nextNs;

        Wanted(long sinceNs) {
            this.sinceNs = sinceNs;
            this.nextNs = sinceNs;
        }
    }
}
