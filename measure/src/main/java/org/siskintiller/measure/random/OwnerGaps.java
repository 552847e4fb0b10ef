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

    /** The slot lost its owner by a planned close. */
    void closed(SlotId slot, long nowNs) {
        if (!lossesOnly) {
            closedAtNs.putIfAbsent(slot, nowNs);
        }
    }

    /** The slot lost its owner by a loss. Later planned closes are not measured. */
    void lost(SlotId slot, long nowNs) {
        lossesOnly = true;
        closedAtNs.putIfAbsent(slot, nowNs);
    }

    void opened(SlotId slot, long nowNs) {
        Long closed = closedAtNs.remove(slot);
        if (closed != null) {
            gapsNs.add(nowNs - closed);
        }
    }

    /** Forgets what was measured so far. */
    void reset() {
        closedAtNs.clear();
        gapsNs.clear();
        lossesOnly = false;
    }

    /** Ended gaps, and those that still last at this time. */
    List<Long> gapsNs(long nowNs) {
        List<Long> gaps = new ArrayList<>(gapsNs);
        closedAtNs.values().forEach(closed -> gaps.add(nowNs - closed));
        return gaps;
    }
}
