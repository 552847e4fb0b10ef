package org.siskintiller.core.gate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.idempotency.RecordKey;
import org.siskintiller.core.model.RequestRecord;

/** Non-idempotent requests in the gate by record key, and the repeats that wait for their outcome. */
final class Repeats {
    private final Map<RecordKey, Ticket> first = new HashMap<>();
    private final Map<RecordKey, List<Ticket>> waiting = new HashMap<>();

    void start(Ticket ticket) {
        first.put(RecordKey.of(ticket.started), ticket);
    }

    /** Returns the request of this very attempt, or null if it has left the gate. */
    Ticket of(RequestRecord started) {
        Ticket ticket = first.get(RecordKey.of(started));
        return ticket != null && ticket.started.equals(started) ? ticket : null;
    }

    void await(RecordKey key, Ticket repeat) {
        repeat.awaited = key;
        repeat.phase = Ticket.Phase.WAITING;
        waiting.computeIfAbsent(key, absent -> new ArrayList<>()).add(repeat);
    }

    void remove(Ticket repeat) {
        List<Ticket> tickets = waiting.get(repeat.awaited);
        if (tickets != null) {
            tickets.remove(repeat);
            if (tickets.isEmpty()) {
                waiting.remove(repeat.awaited);
            }
        }
    }

    void refuseAll(GateContext context, Ticket ended, RefusalKind kind, String detail) {
        for (Ticket repeat : end(context, ended)) {
            context.decisions.refuse(repeat.request().id(), kind, detail);
        }
    }

    void replayAll(GateContext context, Ticket ended, RequestRecord outcome) {
        for (Ticket repeat : end(context, ended)) {
            context.decisions.add(new GateDecision.Replay(repeat.request().id(), outcome));
        }
    }

    private List<Ticket> end(GateContext context, Ticket ended) {
        RecordKey key = RecordKey.of(ended.started);
        first.remove(key, ended);
        List<Ticket> repeats = waiting.remove(key);
        if (repeats == null) {
            return List.of();
        }
        repeats.forEach(context.tickets::remove);
        return repeats;
    }
}
