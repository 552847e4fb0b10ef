package org.siskintiller.core.gate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.idempotency.RecordKey;
import org.siskintiller.core.model.RequestRecord;

/** Non-idempotent requests in the gate by record key, and the repeats that wait for their outcome. */
final class Repeats {
    private final Map<RecordKey, Ticket> firstByKey = new HashMap<>();
    private final Map<RecordKey, List<Ticket>> waitingByKey = new HashMap<>();

    void start(Ticket ticket) {
        firstByKey.put(RecordKey.of(ticket.requestRecord), ticket);
    }

    /** Returns the request that started this record, or null if it has left the gate. */
    Ticket firstRequest(RequestRecord started) {
        Ticket ticket = firstByKey.get(RecordKey.of(started));
        return ticket != null && ticket.requestRecord.equals(started) ? ticket : null;
    }

    void await(RecordKey key, Ticket repeat) {
        repeat.awaitedKey = key;
        repeat.phase = Ticket.Phase.WAITING;
        waitingByKey.computeIfAbsent(key, absent -> new ArrayList<>()).add(repeat);
    }

    void remove(Ticket repeat) {
        List<Ticket> tickets = waitingByKey.get(repeat.awaitedKey);
        if (tickets != null) {
            tickets.remove(repeat);
            if (tickets.isEmpty()) {
                waitingByKey.remove(repeat.awaitedKey);
            }
        }
    }

    void refuseAll(GateContext context, Ticket ended, RefusalKind kind, String detail) {
        for (Ticket repeat : removeWithRepeats(context, ended)) {
            context.decisions.refuse(repeat.request().id(), kind, detail);
        }
    }

    void replayAll(GateContext context, Ticket ended, RequestRecord outcome) {
        for (Ticket repeat : removeWithRepeats(context, ended)) {
            context.decisions.add(new GateDecision.Replay(repeat.request().id(), outcome));
        }
    }

    private List<Ticket> removeWithRepeats(GateContext context, Ticket ended) {
        RecordKey key = RecordKey.of(ended.requestRecord);
        firstByKey.remove(key, ended);
        List<Ticket> repeats = waitingByKey.remove(key);
        if (repeats == null) {
            return List.of();
        }
        repeats.forEach(context.tickets::remove);
        return repeats;
    }
}
