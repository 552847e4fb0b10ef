package org.siskintiller.core.gate;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.gate.GateDecision.Refusal;
import org.siskintiller.core.model.RequestId;

/** Collects the decisions of one event and counts refusals. */
final class Decisions {
    private static final long DEFAULT_RETRY_AFTER_MS = 50;

    private final Map<RefusalKind, Long> refused = new EnumMap<>(RefusalKind.class);
    private List<GateDecision> current = new ArrayList<>();

    void add(GateDecision decision) {
        current.add(decision);
    }

    void refuse(RequestId id, RefusalKind kind, String detail) {
        refuse(id, kind, detail, DEFAULT_RETRY_AFTER_MS);
    }

    void refuse(RequestId id, RefusalKind kind, String detail, long retryAfterMs) {
        refused.merge(kind, 1L, Long::sum);
        current.add(new GateDecision.Refuse(id, new Refusal(kind, detail, retryAfterMs)));
    }

    List<GateDecision> takeAll() {
        List<GateDecision> all = current;
        current = new ArrayList<>();
        return all;
    }

    Map<RefusalKind, Long> refused() {
        return refused;
    }
}
