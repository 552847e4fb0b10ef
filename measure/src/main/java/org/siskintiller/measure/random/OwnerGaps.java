package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.SlotId;

/** Measures how long slots have no open owner. */
final class OwnerGaps {
    private final Map<SlotId, Long> closedAtNs = new HashMap<>();
    private final List<Long> gapsNs = new ArrayList<>();
    private boolean lossesOnly;

    /** Starts a gap at a planned close, unless a loss was recorded before. */
    void recordPlannedClose(SlotId slot, long nowNs) {
        if (!lossesOnly) {
            closedAtNs.putIfAbsent(slot, nowNs);
        }
    }

    /** Starts a gap at the loss of the owner. Later planned closes are ignored. */
    void recordLoss(SlotId slot, long nowNs) {
        lossesOnly = true;
        closedAtNs.putIfAbsent(slot, nowNs);
    }

    void recordOpened(SlotId slot, long nowNs) {
        Long closedNs = closedAtNs.remove(slot);
        if (closedNs != null) {
            gapsNs.add(nowNs - closedNs);
        }
    }

    /** Discards all gaps and measures planned closes again. */
    void reset() {
        closedAtNs.clear();
        gapsNs.clear();
        lossesOnly = false;
    }

    /** Returns the gaps that have ended, and those still open with their length up to this time. */
    List<Long> gapsNs(long nowNs) {
        List<Long> gaps = new ArrayList<>(gapsNs);
        closedAtNs.values().forEach(closedNs -> gaps.add(nowNs - closedNs));
        return gaps;
    }
}
