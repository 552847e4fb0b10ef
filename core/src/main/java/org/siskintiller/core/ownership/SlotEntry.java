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

/** State of one slot of which this companion is or was a candidate or predecessor. */
final class SlotEntry {
    final SlotId id;
    /** Releases received, with the version below which the predecessor never serves again. */
    final Map<Incarnation, Long> released = new HashMap<>();
    /** Sessions that must end or release the slot before it can open here. */
    final Set<Incarnation> awaited = new LinkedHashSet<>();
    /** Companions that wait for a release by this companion, with the versions that they requested. */
    final Map<Incarnation, Long> requesters = new LinkedHashMap<>();

    Assignment assignment = Assignment.NONE;
    /** Session that last activated the slot at an earlier version, as far as known, or null. */
    Incarnation previousOwner;
    /** Version that previousOwner activated. */
    long previousOwnerVersion;
    /** This companion never serves the slot below this version. */
    long minServableVersion;
    /** Fence with which the gate serves the slot, or null. */
    Fence openFence;
    /** Highest fence with which the slot was ever open here, or null. */
    Fence highestFence;

    Incarnation standby;
    boolean closing;
    /** Offset that this companion's witnesses must mark before the release is sent, or -1 if there is none. */
    long markOffset = -1;
    /** Request records to send with the release. */
    List<RequestRecord> records = List.of();

    SlotEntry(SlotId id) {
        this.id = id;
    }

    boolean hasReleased(Incarnation predecessor) {
        return released.getOrDefault(predecessor, -1L) >= assignment.version();
    }

    boolean isOpenAtAssignment() {
        return openFence != null && openFence.version() == assignment.version();
    }

    /** Whether the entry can be removed. A minimum version must be kept for the life of the process. */
    boolean isUnused(Incarnation self) {
        return openFence == null
                && minServableVersion == 0
                && requesters.isEmpty()
                && !assignment.isCandidate(self)
                && !assignment.predecessors().contains(self);
    }
}
