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

/** Collects the slots that open during one call, and reports their activation to the log in batches. */
final class SlotOpenings {
    private static final long REPORT_INTERVAL_NS = 100 * SessionTiming.MS;
    private static final int MAX_SLOTS_PER_RECORD = 1_024;

    private final ControlContext context;
    private final Appender appender;
    private final Map<Group, List<ControlAction.OpenSlot>> collected = new LinkedHashMap<>();
    private final Map<String, TreeMap<Integer, Long>> unreportedActivations = new TreeMap<>();
    private long nextReportNs = Long.MIN_VALUE;

    SlotOpenings(ControlContext context, Appender appender) {
        this.context = context;
        this.appender = appender;
    }

    void add(SlotEntry entry, Incarnation standby, boolean recordsComplete, boolean readRequestsStream) {
        Group group = new Group(entry.id.service(), standby, recordsComplete, readRequestsStream);
        collected
                .computeIfAbsent(group, key -> new ArrayList<>())
                .add(new ControlAction.OpenSlot(entry.id.slot(), entry.openFence));
    }

    void reportActivation(SlotEntry entry) {
        unreportedActivations
                .computeIfAbsent(entry.id.service(), key -> new TreeMap<>())
                .put(entry.id.slot(), entry.openFence.version());
    }

    void flush() {
        collected.forEach((group, slots) -> {
            context.emit(new ControlAction.OpenSlots(
                    group.service, slots, group.standby, group.recordsComplete, group.readRequestsStream));
            context.report(ControlNotice.SLOTS_OPENED, slots.size() + " slots of " + group.service);
        });
        collected.clear();
    }

    /** Drops the collected openings, which have not been emitted to the gate. */
    void discard() {
        collected.clear();
    }

    void tick() {
        if (unreportedActivations.isEmpty() || context.nowNs() < nextReportNs) {
            return;
        }
        nextReportNs = context.nowNs() + REPORT_INTERVAL_NS;
        unreportedActivations.forEach((service, slots) -> {
            List<SlotVersion> batch = new ArrayList<>();
            for (Map.Entry<Integer, Long> slot : slots.entrySet()) {
                if (context.state().assignment(service, slot.getKey()).version() == slot.getValue()) {
                    batch.add(new SlotVersion(slot.getKey(), slot.getValue()));
                }
                if (batch.size() == MAX_SLOTS_PER_RECORD) {
                    appender.append(new LogRecord.SlotsActivated(service, batch, context.self()));
                    batch = new ArrayList<>();
                }
            }
            if (!batch.isEmpty()) {
                appender.append(new LogRecord.SlotsActivated(service, batch, context.self()));
            }
        });
        unreportedActivations.clear();
    }

    /** Slots that the gate opens with the same settings. */
    private record Group(String service, Incarnation standby, boolean recordsComplete, boolean readRequestsStream) {}
}
