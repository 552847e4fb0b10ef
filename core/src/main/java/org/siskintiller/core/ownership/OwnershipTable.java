package org.siskintiller.core.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.siskintiller.core.control.Appender;
import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.ownership.Activation.Verdict;
import org.siskintiller.core.session.EndClaims;
import org.siskintiller.core.session.EndRegistry;
import org.siskintiller.core.session.SessionLease;

/**
 * Slots of which this companion is a candidate or predecessor. An entry is evaluated again only after an event that it
 * waits for.
 */
public final class OwnershipTable {
    private final ControlContext context;
    private final SessionLease lease;
    private final EndRegistry ends;
    private final Activation activation;
    private final ReleaseRequests requests;
    private final SlotOpenings openings;
    private final Map<SlotId, SlotEntry> entries = new LinkedHashMap<>();
    private final Map<Incarnation, Set<SlotEntry>> waitingByBlocker = new LinkedHashMap<>();
    private final Set<SlotEntry> waitingForLease = new LinkedHashSet<>();
    private final TreeMap<Long, List<SlotEntry>> timers = new TreeMap<>();
    private int openCount;
    private boolean stopped;

    public OwnershipTable(
            ControlContext context, SessionLease lease, EndRegistry ends, EndClaims claims, Appender appender) {
        this.context = context;
        this.lease = lease;
        this.ends = ends;
        this.activation = new Activation(context, ends);
        this.requests = new ReleaseRequests(context, claims);
        this.openings = new SlotOpenings(context, appender);
    }

    /** A slot's assignment changed. earlier is the previous assignment. */
    public void onAssigned(SlotId slot, Assignment earlier) {
        Assignment current = context.state().assignment(slot.service(), slot.slot());
        SlotEntry entry = entries.get(slot);
        if (entry == null && !involvesSelf(current)) {
            return;
        }
        entry = entry(slot);
        if (earlier.activatedBy() != null) {
            entry.previousOwner = earlier.activatedBy();
            entry.previousOwnerVersion = earlier.version();
        }
        update(entry, current);
    }

    /** A slot's activation was applied from the log, which cleared its predecessors. */
    public void onActivated(SlotId slot) {
        SlotEntry entry = entries.get(slot);
        if (entry == null) {
            return;
        }
        Assignment current = context.state().assignment(slot.service(), slot.slot());
        if (!context.self().equals(current.activatedBy()) && entry.openFence == null && !entry.closing) {
            entry.records = List.of();
        }
        update(entry, current);
    }

    /** Evaluates all slots again after the state was replaced by a snapshot. */
    public void rebuild() {
        context.state().forEachAssignment((slot, assignment) -> {
            SlotEntry known = entries.get(slot);
            if (known == null && involvesSelf(assignment)) {
                update(entry(slot), assignment);
            } else if (known != null && known.assignment.version() != assignment.version()) {
                known.previousOwner = null;
                update(known, assignment);
            } else if (known != null) {
                update(known, assignment);
            }
        });
    }

    /** Configuration changed: slots of services that appeared may open. */
    public void onConfigChanged() {
        activation.onConfigChanged();
        new ArrayList<>(entries.values()).forEach(this::evaluate);
    }

    /** A session ended, by a claim of this companion or by the log. */
    public void onEnded(Incarnation ended) {
        Set<SlotEntry> blocked = waitingByBlocker.remove(ended);
        if (blocked != null) {
            blocked.forEach(entry -> {
                entry.awaited.remove(ended);
                requests.cancel(ended, entry.id);
            });
            blocked.forEach(this::evaluate);
        }
        for (SlotEntry entry : entries.values()) {
            if (ended.equals(entry.standby) && entry.openFence != null && !entry.closing) {
                entry.standby = standbyOf(entry);
                openings.add(entry, entry.standby, true, false);
            }
        }
    }

    public void onLeaseAcquired() {
        List<SlotEntry> ready = new ArrayList<>(waitingForLease);
        waitingForLease.clear();
        ready.forEach(this::evaluate);
    }

    /** A predecessor committed itself never to serve slots below the named versions. */
    public void onReleased(PeerMessage.Released released) {
        Set<SlotId> awaitedSlots = new HashSet<>();
        List<SlotEntry> ready = new ArrayList<>();
        for (SlotVersion slot : released.slots()) {
            SlotEntry entry = entries.get(new SlotId(released.service(), slot.slot()));
            if (entry == null || entry.hasReleased(released.from())) {
                continue;
            }
            entry.released.merge(released.from(), slot.version(), Math::max);
            if (entry.hasReleased(released.from()) && entry.awaited.remove(released.from())) {
                requests.cancel(released.from(), entry.id);
                waitingByBlocker.get(released.from()).remove(entry);
                awaitedSlots.add(entry.id);
                ready.add(entry);
            }
        }
        storeRecords(released, awaitedSlots);
        ready.forEach(this::evaluate);
    }

    /** Stores the records of awaited slots. A repeated or late message is ignored, as newer records may exist here. */
    private void storeRecords(PeerMessage.Released released, Set<SlotId> awaitedSlots) {
        List<RequestRecord> records = new ArrayList<>();
        for (RequestRecord received : released.records()) {
            if (awaitedSlots.contains(received.slot()) && !isStaleMarker(received)) {
                records.add(received);
            }
        }
        if (!records.isEmpty()) {
            context.emit(new ControlAction.StoreRecords(false, records));
        }
    }

    /**
     * Whether a record is a marker that may no longer hold. A marker has no idempotency key and states that the records
     * are complete at the released version or the next. An earlier candidate of the current version may have served
     * after that release and then been lost.
     */
    private boolean isStaleMarker(RequestRecord record) {
        Assignment assignment = entries.get(record.slot()).assignment;
        return record.idempotencyKey().isEmpty() && assignment.candidates().indexOf(context.self()) > 0;
    }

    public void tick() {
        while (!timers.isEmpty() && timers.firstKey() <= context.nowNs()) {
            timers.pollFirstEntry().getValue().forEach(this::evaluate);
        }
        openings.tick();
    }

    /** Emits the openings and release requests that were collected during the call. */
    public void flush() {
        openings.flush();
        requests.flush();
    }

    /** Returns the number of slots that the gate has open or is quiescing. */
    public int openCount() {
        return openCount;
    }

    public boolean isOpen(SlotId slot) {
        SlotEntry entry = entries.get(slot);
        return entry != null && entry.openFence != null;
    }

    /** Returns the open slots and their fences, sorted by slot. */
    public Map<SlotId, Fence> openSlots() {
        Map<SlotId, Fence> open = new TreeMap<>();
        entries.forEach((slot, entry) -> {
            if (entry.openFence != null) {
                open.put(slot, entry.openFence);
            }
        });
        return open;
    }

    /** Opens nothing more and quiesces all open slots. */
    public void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        if (context.state().isOpen(context.self())) {
            // The opening of a slot during this call must not reach the gate after its closing.
            openings.flush();
        } else {
            // Once this companion's session has ended, other companions may already serve the slots.
            openings.discard();
        }
        Map<String, List<SlotVersion>> closing = new TreeMap<>();
        for (SlotEntry entry : entries.values()) {
            if (entry.openFence != null && !entry.closing) {
                entry.closing = true;
                closing.computeIfAbsent(entry.id.service(), key -> new ArrayList<>())
                        .add(new SlotVersion(entry.id.slot(), entry.openFence.version()));
            }
        }
        closing.forEach((service, slots) -> context.emit(new ControlAction.CloseSlots(service, slots)));
    }

    /** Emits the collected openings before actions that must follow them. */
    void flushOpenings() {
        openings.flush();
    }

    SlotEntry entry(SlotId slot) {
        return entries.computeIfAbsent(slot, key -> {
            SlotEntry entry = new SlotEntry(key);
            entry.assignment = context.state().assignment(key.service(), key.slot());
            return entry;
        });
    }

    SlotEntry find(SlotId slot) {
        return entries.get(slot);
    }

    /** The gate has quiesced the slot. */
    void onQuiesced(SlotEntry entry) {
        entry.openFence = null;
        entry.closing = false;
        openCount--;
        evaluate(entry);
    }

    private boolean involvesSelf(Assignment assignment) {
        return assignment.isCandidate(context.self())
                || assignment.predecessors().contains(context.self());
    }

    private void update(SlotEntry entry, Assignment current) {
        Invariant.ASSIGNMENT_DURABLE.check(
                current.version() >= entry.assignment.version(),
                entry.id + " would go back from version " + entry.assignment.version() + " to " + current.version());
        entry.assignment = current;
        stopWaiting(entry);
        if (entry.isUnused(context.self())) {
            entries.remove(entry.id);
            return;
        }
        if (entry.isOpenAtAssignment() && !entry.closing) {
            refreshStandby(entry);
        }
        evaluate(entry);
    }

    private void stopWaiting(SlotEntry entry) {
        for (Incarnation awaited : entry.awaited) {
            requests.cancel(awaited, entry.id);
            Set<SlotEntry> blocked = waitingByBlocker.get(awaited);
            if (blocked != null) {
                blocked.remove(entry);
            }
        }
        entry.awaited.clear();
        waitingForLease.remove(entry);
    }

    private void evaluate(SlotEntry entry) {
        if (stopped || entry.closing || entry.isOpenAtAssignment()) {
            return;
        }
        Verdict verdict = activation.check(entry);
        if (verdict instanceof Verdict.EarlierCandidate) {
            waitFor(((Verdict.EarlierCandidate) verdict).candidate(), entry);
        } else if (verdict instanceof Verdict.Predecessors) {
            for (Incarnation missing : ((Verdict.Predecessors) verdict).missing()) {
                waitFor(missing, entry);
                requests.add(missing, entry.id, entry.assignment.version());
            }
        } else if (verdict instanceof Verdict.Running) {
            timers.computeIfAbsent(((Verdict.Running) verdict).untilNs(), key -> new ArrayList<>())
                    .add(entry);
        } else if (verdict instanceof Verdict.Allowed) {
            if (lease.holds(context.nowNs())) {
                open(entry, (Verdict.Allowed) verdict);
            } else {
                waitingForLease.add(entry);
            }
        }
    }

    private void waitFor(Incarnation incarnation, SlotEntry entry) {
        entry.awaited.add(incarnation);
        waitingByBlocker
                .computeIfAbsent(incarnation, key -> new LinkedHashSet<>())
                .add(entry);
    }

    private void open(SlotEntry entry, Verdict.Allowed verdict) {
        Fence fence = new Fence(
                entry.assignment.version(), entry.assignment.candidates().indexOf(context.self()));
        checkSoleOwner(entry, fence);
        if (entry.openFence == null) {
            openCount++;
        }
        entry.openFence = fence;
        entry.highestFence = fence;
        entry.records = List.of();
        entry.markOffset = -1;
        entry.requesters.clear();
        entry.standby = standbyOf(entry);
        openings.add(entry, entry.standby, verdict.recordsComplete(), verdict.readRequestsStream());
        openings.reportActivation(entry);
    }

    /** Checks the conditions of an activation again, independently of the code path that led to it. */
    private void checkSoleOwner(SlotEntry entry, Fence fence) {
        Assignment assignment = context.state().assignment(entry.id.service(), entry.id.slot());
        Invariant.SOLE_OWNER.check(
                lease.holds(context.nowNs()) && context.state().isOpen(context.self()),
                entry.id + " would open without a lease");
        Invariant.SOLE_OWNER.check(assignment.version() == fence.version(), entry.id + " would open at an old version");
        Invariant.SOLE_OWNER.check(
                fence.version() >= entry.minServableVersion, entry.id + " would open below its minimum version");
        Invariant.SOLE_OWNER.check(
                entry.highestFence == null || fence.compareTo(entry.highestFence) > 0,
                entry.id + " would reuse fence " + fence);
        Invariant.SOLE_OWNER.check(
                activation.runsUntilNs(entry) <= context.nowNs(),
                entry.id + " may still run a request of an ended session");
        for (Incarnation earlier : assignment.candidates().subList(0, fence.candidateIndex())) {
            Invariant.SOLE_OWNER.check(ends.isEnded(earlier), entry.id + " may still be served by " + earlier);
        }
        for (Incarnation predecessor : assignment.predecessors()) {
            Invariant.SOLE_OWNER.check(
                    predecessor.equals(context.self()) || entry.hasReleased(predecessor) || ends.isEnded(predecessor),
                    entry.id + " may still be served by predecessor " + predecessor);
        }
    }

    private void refreshStandby(SlotEntry entry) {
        Incarnation standby = standbyOf(entry);
        if (standby != null && !standby.equals(entry.standby)) {
            entry.standby = standby;
            openings.add(entry, standby, true, false);
        }
    }

    /** Returns the first later candidate that has not ended, in another failure domain if possible. */
    private Incarnation standbyOf(SlotEntry entry) {
        List<Incarnation> candidates = entry.assignment.candidates();
        String ownDomain = context.ownSession().failureDomain();
        Incarnation sameDomain = null;
        for (Incarnation candidate : candidates.subList(entry.openFence.candidateIndex() + 1, candidates.size())) {
            Session session = context.state().session(candidate).orElse(null);
            if (session == null || ends.isEnded(candidate)) {
                continue;
            }
            if (!session.failureDomain().equals(ownDomain)) {
                return candidate;
            }
            sameDomain = sameDomain == null ? candidate : sameDomain;
        }
        return sameDomain;
    }
}
