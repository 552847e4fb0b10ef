package org.siskintiller.core.ownership;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotId;

/** What a companion knows and has promised about one slot that concerns it. */
final class SlotEntry {
    final SlotId id;
    /** Releases received: the predecessor never serves below this version. */
    final Map<Incarnation, Long> released = new HashMap<>();
    /** Sessions whose end or release is waited for. */
    final Set<Incarnation> awaited = new LinkedHashSet<>();
    /** Companions that wait for the own release, with the version that each asked for. */
    final Map<Incarnation, Long> requesters = new LinkedHashMap<>();

    Assignment assignment = Assignment.NONE;
    /** Session that was last known to serve the slot at an earlier version, or null. */
    Incarnation earlierServer;
    /** Version at which it served. */
    long earlierVersion;
    /** The slot is never served below this version. */
    long promisedVersion;
    /** Fence under which the gate serves the slot, or null. */
    Fence open;
    /** Newest fence under which the slot was ever open here. */
    Fence highest;

    Incarnation standby;
    boolean closing;
    /** Offset that the own witnesses must mark before the release is answered, -1 when none is owed. */
    long markOffset = -1;
    /** Request records that go with the release. */
    List<RequestRecord> records = List.of();

    SlotEntry(SlotId id) {
        this.id = id;
    }

    boolean hasReleased(Incarnation predecessor) {
        return released.getOrDefault(predecessor, -1L) >= assignment.version();
    }

    boolean isOpenAtAssignment() {
        return open != null && open.version() == assignment.version();
    }

    /** Whether nothing about the slot must be remembered any more. A promise is kept for the life of the process. */
    boolean isUnused(Incarnation self) {
        return open == null
                && promisedVersion == 0
                && requesters.isEmpty()
                && !assignment.isCandidate(self)
                && !assignment.predecessors().contains(self);
    }
}
