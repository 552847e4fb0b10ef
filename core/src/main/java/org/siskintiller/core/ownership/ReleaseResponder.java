package org.siskintiller.core.ownership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.control.ControlNotice;
import org.siskintiller.core.control.RecordRelay;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.session.SessionLease;

/**
 * Responds to release requests: closes and quiesces the slots, has the witnesses mark the offset, then commits to the
 * release.
 */
public final class ReleaseResponder {
    private final ControlContext context;
    private final OwnershipTable table;
    private final SessionLease lease;
    private final RecordRelay relay;
    /** Newest request of each requester and service that names a later offset than the applied one. */
    private final Map<Requester, PeerMessage.ReleaseRequest> requestsAhead = new LinkedHashMap<>();
    /** Quiesced slots whose offset is not marked yet. */
    private final Set<SlotEntry> unmarked = new LinkedHashSet<>();

    public ReleaseResponder(ControlContext context, OwnershipTable table, SessionLease lease, RecordRelay relay) {
        this.context = context;
        this.table = table;
        this.lease = lease;
        this.relay = relay;
    }

    public void onRequest(PeerMessage.ReleaseRequest request) {
        if (request.appliedOffset() > context.state().appliedOffset()) {
            requestsAhead.put(new Requester(request.from(), request.service()), request);
            relay.catchUp(request.from(), request.appliedOffset());
            return;
        }
        List<SlotVersion> closing = new ArrayList<>();
        Batch releasable = new Batch();
        for (SlotVersion slot : request.slots()) {
            SlotEntry entry = release(request, slot, closing);
            if (entry != null) {
                releasable.add(entry, slot.version());
            }
        }
        if (!closing.isEmpty()) {
            table.flushOpenings();
            context.emit(new ControlAction.CloseSlots(request.service(), closing));
            context.report(ControlNotice.SLOTS_CLOSED, closing.size() + " slots of " + request.service());
            // The witnesses mark the offset while the gate quiesces.
            lease.heartbeatNow();
        }
        releasable.send(request.from(), request.service());
    }

    /** Records were applied, so that requests that were ahead of the applied offset may be processed. */
    public void onApplied() {
        if (requestsAhead.isEmpty()) {
            return;
        }
        for (Map.Entry<Requester, PeerMessage.ReleaseRequest> request : new ArrayList<>(requestsAhead.entrySet())) {
            if (request.getValue().appliedOffset() <= context.state().appliedOffset()) {
                requestsAhead.remove(request.getKey());
                onRequest(request.getValue());
            }
        }
    }

    /** The gate has quiesced slots. */
    public void onQuiesced(String service, List<SlotVersion> slots, List<RequestRecord> records) {
        Map<SlotId, List<RequestRecord>> bySlot = new LinkedHashMap<>();
        records.forEach(stored ->
                bySlot.computeIfAbsent(stored.slot(), key -> new ArrayList<>()).add(stored));
        for (SlotVersion slot : slots) {
            SlotEntry entry = table.find(new SlotId(service, slot.slot()));
            if (entry == null || !entry.closing || entry.openFence.version() != slot.version()) {
                continue;
            }
            entry.records = bySlot.getOrDefault(entry.id, List.of());
            if (entry.markOffset >= 0) {
                unmarked.add(entry);
            }
            table.onQuiesced(entry);
        }
        onMarked();
    }

    /** Witnesses acked a heartbeat, so that their marks may have increased. */
    public void onMarked() {
        if (unmarked.isEmpty()) {
            return;
        }
        Map<Requester, Batch> batches = new LinkedHashMap<>();
        for (SlotEntry entry : new ArrayList<>(unmarked)) {
            if (!lease.isMarked(entry.markOffset)) {
                continue;
            }
            unmarked.remove(entry);
            entry.markOffset = -1;
            entry.requesters.forEach((from, version) -> batches.computeIfAbsent(
                            new Requester(from, entry.id.service()), key -> new Batch())
                    .add(entry, version));
            entry.requesters.clear();
        }
        batches.forEach((to, batch) -> batch.send(to.from, to.service));
    }

    /** Returns the entry if its release can be sent at once, or null. */
    private SlotEntry release(PeerMessage.ReleaseRequest request, SlotVersion requested, List<SlotVersion> closing) {
        SlotId slot = new SlotId(request.service(), requested.slot());
        Assignment current = context.state().assignment(slot.service(), slot.slot());
        boolean stale = current.version() != requested.version() || !current.isCandidate(request.from());
        SlotEntry known = table.find(slot);
        if (current.version() < requested.version() || stale && known != null && known.openFence != null) {
            // The requester will apply the newer assignment, and only candidates of that may take the slot over.
            return null;
        }
        SlotEntry entry = table.entry(slot);
        boolean serving = entry.openFence != null && entry.openFence.version() < requested.version();
        entry.minServableVersion = Math.max(entry.minServableVersion, requested.version());
        if (!serving && entry.markOffset < 0) {
            return entry;
        }
        entry.requesters.merge(request.from(), requested.version(), Math::max);
        if (serving && !entry.closing) {
            entry.closing = true;
            closing.add(new SlotVersion(slot.slot(), entry.openFence.version()));
        }
        if (entry.markOffset < 0) {
            entry.markOffset = context.state().appliedOffset();
        }
        return null;
    }

    /** Requester of slots of one service. */
    private record Requester(Incarnation from, String service) {}

    /** Slots whose release is sent in one message, with their request records. */
    private final class Batch {
        private final List<SlotVersion> slots = new ArrayList<>();
        private final List<RequestRecord> records = new ArrayList<>();

        void add(SlotEntry entry, long version) {
            slots.add(new SlotVersion(entry.id.slot(), version));
            records.addAll(entry.records);
        }

        void send(Incarnation to, String service) {
            if (!slots.isEmpty()) {
                context.send(to, new PeerMessage.Released(context.self(), service, slots, records));
                context.report(ControlNotice.SLOTS_RELEASED, slots.size() + " slots of " + service);
            }
        }
    }
}
