package org.siskintiller.core.gate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.idempotency.BodyBudget;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;

/** Slots, customers and the gate that accept no new requests and are reported when they have none left. */
final class Quiescing {
    private final GateContext context;
    private final Map<SlotId, Long> closing = new LinkedHashMap<>();
    private final Map<String, Long> customers = new HashMap<>();
    private boolean drained;

    Quiescing(GateContext context) {
        this.context = context;
    }

    void closeSlots(GateEvent.SlotsClosing event) {
        for (SlotVersion slot : event.slots()) {
            SlotId id = new SlotId(event.service(), slot.slot());
            context.slots.close(id);
            closing.merge(id, slot.version(), Math::max);
            for (Ticket ticket : context.tickets.ofSlot(id)) {
                if (!ticket.isRunning() && ticket.phase != Ticket.Phase.WAITING) {
                    context.refuse(ticket, RefusalKind.NOT_OWNER, id + " moves to another owner");
                }
            }
        }
    }

    /** Stops the quiescing of a slot that is opened again. */
    void slotReopened(SlotId slot) {
        closing.remove(slot);
    }

    void quiesceCustomer(GateEvent.CustomerQuiescing event) {
        context.removedCustomers.add(event.customer());
        customers.put(event.customer(), event.removalOffset());
        for (Ticket ticket : context.tickets.ofCustomer(event.customer())) {
            if (!ticket.isRunning()) {
                refuseRemoved(ticket);
            }
        }
    }

    void configured(GateEvent.ConfigApplied event) {
        context.removedCustomers.clear();
        context.removedCustomers.addAll(event.removedCustomers());
        context.removedCustomers.addAll(customers.keySet());
    }

    void startDrain() {
        if (!context.isDraining()) {
            context.drainStartedNs = context.nowNs;
        }
    }

    /** Reports slots, customers and the gate that have no requests left. Called after each event. */
    void report() {
        reportSlots();
        Iterator<Map.Entry<String, Long>> pending = customers.entrySet().iterator();
        while (pending.hasNext()) {
            Map.Entry<String, Long> customer = pending.next();
            if (!context.tickets.anyOfCustomer(customer.getKey())) {
                context.decisions.add(new GateDecision.CustomerQuiesced(customer.getKey(), customer.getValue()));
                pending.remove();
            }
        }
        if (context.isDraining() && !drained && context.tickets.isEmpty()) {
            drained = true;
            context.decisions.add(new GateDecision.Drained());
        }
    }

    private void reportSlots() {
        if (closing.isEmpty()) {
            return;
        }
        Map<String, List<SlotVersion>> quiesced = new LinkedHashMap<>();
        Map<String, List<RequestRecord>> records = new HashMap<>();
        BodyBudget bodies = new BodyBudget(BodyBudget.MAX_MESSAGE_BODY_BYTES);
        Iterator<Map.Entry<SlotId, Long>> pending = closing.entrySet().iterator();
        while (pending.hasNext()) {
            Map.Entry<SlotId, Long> slot = pending.next();
            if (!context.tickets.anyOfSlot(slot.getKey())) {
                String service = slot.getKey().service();
                quiesced.computeIfAbsent(service, name -> new ArrayList<>())
                        .add(new SlotVersion(slot.getKey().slot(), slot.getValue()));
                records.computeIfAbsent(service, name -> new ArrayList<>())
                        .addAll(context.idempotency.release(slot.getKey(), slot.getValue(), context.wallMs, bodies));
                pending.remove();
            }
        }
        quiesced.forEach((service, slots) ->
                context.decisions.add(new GateDecision.SlotsQuiesced(service, slots, records.get(service))));
    }

    private void refuseRemoved(Ticket ticket) {
        if (ticket.phase == Ticket.Phase.WAITING) {
            context.refuse(ticket, RefusalKind.OUTCOME_UNKNOWN, "the customer was removed while its request runs");
        } else {
            context.refuse(ticket, RefusalKind.CUSTOMER_REMOVED, "the customer was removed");
        }
    }
}
