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

/** Loads of the own service. Each companion reports to the sessions that may propose assignments. */
final class LoadBook {
    private static final int RECEIVERS = 2;
    private static final int REPORTED_HOT_KEYS = 320;

    private final ControlContext context;
    private final Map<Incarnation, PeerMessage.LoadReport> reports = new LinkedHashMap<>();

    LoadBook(ControlContext context) {
        this.context = context;
    }

    void onMeasured(ControlEvent.LoadMeasured measured) {
        PeerMessage.LoadReport report =
                new PeerMessage.LoadReport(context.self(), measured.load(), measured.slots(), measured.hotKeys());
        reports.put(context.self(), report);
        List<Incarnation> sessions =
                context.state().sessionsOf(context.ownSession().backendServer().service());
        for (Incarnation each : sessions.subList(0, Math.min(RECEIVERS, sessions.size()))) {
            if (!each.equals(context.self())) {
                context.send(each, report);
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
            for (SlotLoad each : report.slots()) {
                slots.merge(each.slot(), each.requestsPerSecond(), Math::max);
            }
            hotKeys.addAll(report.hotKeys());
        });
        hotKeys.sort(Comparator.comparingDouble(KeyLoad::requestsPerSecond)
                .reversed()
                .thenComparing(KeyLoad::key));
        return new LoadView(sessions, slots, hotKeys.subList(0, Math.min(REPORTED_HOT_KEYS, hotKeys.size())));
    }
}
