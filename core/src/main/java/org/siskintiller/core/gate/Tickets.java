package org.siskintiller.core.gate;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.SlotId;

/** All requests in the gate, by id, slot, customer and deadline. */
final class Tickets {
    private final Map<RequestId, Ticket> byId = new HashMap<>();
    private final Map<SlotId, Set<Ticket>> bySlot = new HashMap<>();
    private final Map<String, Set<Ticket>> byCustomer = new HashMap<>();
    /** Requests that do not run. The node enforces the deadline of running ones. */
    private final TreeSet<Ticket> byDeadline = new TreeSet<>();

    Ticket get(RequestId id) {
        return byId.get(id);
    }

    void add(Ticket ticket) {
        byId.put(ticket.request().id(), ticket);
        byCustomer
                .computeIfAbsent(ticket.customer(), customer -> new HashSet<>())
                .add(ticket);
        if (ticket.request().slot() != null) {
            bySlot.computeIfAbsent(ticket.request().slot(), slot -> new HashSet<>())
                    .add(ticket);
        }
        byDeadline.add(ticket);
    }

    void remove(Ticket ticket) {
        byId.remove(ticket.request().id());
        removeFrom(byCustomer, ticket.customer(), ticket);
        if (ticket.request().slot() != null) {
            removeFrom(bySlot, ticket.request().slot(), ticket);
        }
        byDeadline.remove(ticket);
    }

    void dispatched(Ticket ticket) {
        byDeadline.remove(ticket);
    }

    /** Returns a request that does not run and whose deadline has passed, or null. */
    Ticket expired(long nowNs) {
        return byDeadline.isEmpty() || byDeadline.first().deadlineNs() > nowNs ? null : byDeadline.first();
    }

    List<Ticket> notRunning() {
        return List.copyOf(byDeadline);
    }

    List<Ticket> ofSlot(SlotId slot) {
        return List.copyOf(bySlot.getOrDefault(slot, Set.of()));
    }

    List<Ticket> ofCustomer(String customer) {
        return List.copyOf(byCustomer.getOrDefault(customer, Set.of()));
    }

    boolean anyOfSlot(SlotId slot) {
        return bySlot.containsKey(slot);
    }

    boolean anyOfCustomer(String customer) {
        return byCustomer.containsKey(customer);
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    private static <K> void removeFrom(Map<K, Set<Ticket>> index, K key, Ticket ticket) {
        Set<Ticket> tickets = index.get(key);
        if (tickets != null) {
            tickets.remove(ticket);
            if (tickets.isEmpty()) {
                index.remove(key);
            }
        }
    }
}
