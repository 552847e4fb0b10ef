package org.siskintiller.core.ownership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.siskintiller.core.control.Appender;
import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.control.ControlNotice;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.session.SessionTiming;

/** Collects slots that open in one call, and reports their activation to the log in batches. */
final class SlotOpenings {
    private static final long ACTIVATION_INTERVAL_NS = 100 * SessionTiming.MS;
    private static final int SLOTS_PER_RECORD = 1_024;

    private final ControlContext context;
    private final Appender appender;
    private final Map<Group, List<ControlAction.OpenSlot>> opening = new LinkedHashMap<>();
    private final Map<String, TreeMap<Integer, Long>> unreported = new TreeMap<>();
    private long nextReportNs = Long.MIN_VALUE;

    SlotOpenings(ControlContext context, Appender appender) {
        this.context = context;
        this.appender = appender;
    }

    void open(SlotEntry entry, Incarnation standby, boolean recordsComplete, boolean readRequestsStream) {
        Group group = new Group(entry.id.service(), standby, recordsComplete, readRequestsStream);
        opening.computeIfAbsent(group, key -> new ArrayList<>())
                .add(new ControlAction.OpenSlot(entry.id.slot(), entry.open));
    }

    void reportActivation(SlotEntry entry) {
        unreported
                .computeIfAbsent(entry.id.service(), key -> new TreeMap<>())
                .put(entry.id.slot(), entry.open.version());
    }

    void flush() {
        opening.forEach((group, slots) -> {
            context.emit(new ControlAction.OpenSlots(
                    group.service, slots, group.standby, group.recordsComplete, group.readRequestsStream));
            context.report(ControlNotice.SLOTS_OPENED, slots.size() + " slots of " + group.service);
        });
        opening.clear();
    }

    /** Drops the collected openings, of which the gate has not heard. */
    void discard() {
        opening.clear();
    }

    void tick() {
        if (unreported.isEmpty() || context.nowNs() < nextReportNs) {
            return;
        }
        nextReportNs = context.nowNs() + ACTIVATION_INTERVAL_NS;
        unreported.forEach((service, slots) -> {
            List<SlotVersion> batch = new ArrayList<>();
            for (Map.Entry<Integer, Long> each : slots.entrySet()) {
                if (context.state().assignment(service, each.getKey()).version() == each.getValue()) {
                    batch.add(new SlotVersion(each.getKey(), each.getValue()));
                }
                if (batch.size() == SLOTS_PER_RECORD) {
                    appender.append(new LogRecord.SlotsActivated(service, batch, context.self()));
                    batch = new ArrayList<>();
                }
            }
            if (!batch.isEmpty()) {
                appender.append(new LogRecord.SlotsActivated(service, batch, context.self()));
            }
        });
        unreported.clear();
    }

    /** Slots that the gate opens with the same settings. */
    private record Group(String service, Incarnation standby, boolean recordsComplete, boolean readRequestsStream) {}
}
