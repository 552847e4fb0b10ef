package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.PeerMessage.KeyLoad;
import org.siskintiller.core.model.PeerMessage.SlotLoad;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.placement.LoadView;

/** Load reports of the companions of one service. Each companion sends its report to the sessions that propose. */
final class LoadReports {
    private static final int MAX_RECEIVERS = 2;
    private static final int MAX_HOT_KEYS = 320;

    private final ControlContext context;
    private final Map<Incarnation, PeerMessage.LoadReport> reports = new LinkedHashMap<>();

    LoadReports(ControlContext context) {
        this.context = context;
    }

    void onMeasured(ControlEvent.LoadMeasured measured) {
        PeerMessage.LoadReport report =
                new PeerMessage.LoadReport(context.self(), measured.load(), measured.slots(), measured.hotKeys());
        reports.put(context.self(), report);
        List<Incarnation> sessions =
                context.state().sessionsOf(context.ownSession().backendServer().service());
        for (Incarnation receiver : sessions.subList(0, Math.min(MAX_RECEIVERS, sessions.size()))) {
            if (!receiver.equals(context.self())) {
                context.send(receiver, report);
            }
        }
    }

    void onReport(PeerMessage.LoadReport report) {
        if (context.state().isOpen(report.from())) {
            reports.put(report.from(), report);
        }
    }

    void onEnded(Incarnation ended) {
        reports.remove(ended);
    }

    LoadView view() {
        if (reports.isEmpty()) {
            return LoadView.EMPTY;
        }
        Map<Incarnation, Double> sessions = new HashMap<>();
        Map<SlotId, Double> slots = new HashMap<>();
        List<KeyLoad> hotKeys = new ArrayList<>();
        reports.forEach((from, report) -> {
            sessions.put(from, report.load());
            for (SlotLoad slotLoad : report.slots()) {
                slots.merge(slotLoad.slot(), slotLoad.requestsPerSecond(), Math::max);
            }
            hotKeys.addAll(report.hotKeys());
        });
        hotKeys.sort(Comparator.comparingDouble(KeyLoad::requestsPerSecond)
                .reversed()
                .thenComparing(KeyLoad::key));
        return new LoadView(sessions, slots, hotKeys.subList(0, Math.min(MAX_HOT_KEYS, hotKeys.size())));
    }
}
