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

/** Answers release requests: closes and quiesces the slots, marks the offset at the witnesses, then promises. */
public final class ReleaseResponder {
    private final ControlContext context;
    private final OwnershipTable table;
    private final SessionLease lease;
    private final RecordRelay relay;
    /** Requests that name a later offset than the applied one, the newest of each requester and service. */
    private final Map<Sender, PeerMessage.ReleaseRequest> ahead = new LinkedHashMap<>();
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
            ahead.put(new Sender(request.from(), request.service()), request);
            relay.catchUp(request.from(), request.appliedOffset());
            return;
        }
        List<SlotVersion> closing = new ArrayList<>();
        Batch answers = new Batch();
        for (SlotVersion each : request.slots()) {
            SlotEntry entry = release(request, each, closing);
            if (entry != null) {
                answers.add(entry, each.version());
            }
        }
        if (!closing.isEmpty()) {
            table.flushOpenings();
            context.emit(new ControlAction.CloseSlots(request.service(), closing));
            context.report(ControlNotice.SLOTS_CLOSED, closing.size() + " slots of " + request.service());
            // The witnesses mark the offset while the gate quiesces.
            lease.heartbeatNow();
        }
        answers.send(request.from(), request.service());
    }

    /** Records were applied, so that earlier requests may be answered. */
    public void onApplied() {
        if (ahead.isEmpty()) {
            return;
        }
        for (Map.Entry<Sender, PeerMessage.ReleaseRequest> each : new ArrayList<>(ahead.entrySet())) {
            if (each.getValue().appliedOffset() <= context.state().appliedOffset()) {
                ahead.remove(each.getKey());
                onRequest(each.getValue());
            }
        }
    }

    /** The gate has quiesced slots. */
    public void onQuiesced(String service, List<SlotVersion> slots, List<RequestRecord> records) {
        Map<SlotId, List<RequestRecord>> bySlot = new LinkedHashMap<>();
        records.forEach(each ->
                bySlot.computeIfAbsent(each.slot(), key -> new ArrayList<>()).add(each));
        for (SlotVersion each : slots) {
            SlotEntry entry = table.find(new SlotId(service, each.slot()));
            if (entry == null || !entry.closing || entry.open.version() != each.version()) {
                continue;
            }
            entry.records = bySlot.getOrDefault(entry.id, List.of());
            if (entry.markOffset >= 0) {
                unmarked.add(entry);
            }
            table.closed(entry);
        }
        onMarked();
    }

    /** Witnesses acked a heartbeat, so that marks may have been raised. */
    public void onMarked() {
        if (unmarked.isEmpty()) {
            return;
        }
        Map<Sender, Batch> answers = new LinkedHashMap<>();
        for (SlotEntry entry : new ArrayList<>(unmarked)) {
            if (!lease.isMarked(entry.markOffset)) {
                continue;
            }
            unmarked.remove(entry);
            entry.markOffset = -1;
            entry.requesters.forEach(
                    (from, version) -> answers.computeIfAbsent(new Sender(from, entry.id.service()), key -> new Batch())
                            .add(entry, version));
            entry.requesters.clear();
        }
        answers.forEach((to, batch) -> batch.send(to.from, to.service));
    }

    /** Returns the entry when the release can be answered at once, or null. */
    private SlotEntry release(PeerMessage.ReleaseRequest request, SlotVersion asked, List<SlotVersion> closing) {
        SlotId slot = new SlotId(request.service(), asked.slot());
        Assignment current = context.state().assignment(slot.service(), slot.slot());
        boolean stale = current.version() != asked.version() || !current.isCandidate(request.from());
        SlotEntry known = table.find(slot);
        if (current.version() < asked.version() || stale && known != null && known.open != null) {
            // A requester with an old view learns the newer assignment; only its candidates may take the slot over.
            return null;
        }
        SlotEntry entry = table.entry(slot);
        boolean serving = entry.open != null && entry.open.version() < asked.version();
        entry.promisedVersion = Math.max(entry.promisedVersion, asked.version());
        if (!serving && entry.markOffset < 0) {
            return entry;
        }
        entry.requesters.merge(request.from(), asked.version(), Math::max);
        if (serving && !entry.closing) {
            entry.closing = true;
            closing.add(new SlotVersion(slot.slot(), entry.open.version()));
        }
        if (entry.markOffset < 0) {
            entry.markOffset = context.state().appliedOffset();
        }
        return null;
    }

    /** Requester of slots of one service. */
    private record Sender(Incarnation from, String service) {}

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
