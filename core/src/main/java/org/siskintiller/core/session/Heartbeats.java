package org.siskintiller.core.session;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;

/** Sends heartbeats and keeps the send times of recent ones. */
final class Heartbeats {
    /** Acks of heartbeats older than the last 64 can no longer extend the lease. */
    private static final int MAX_KEPT_HEARTBEATS = 64;

    private final ControlContext context;
    private final Map<Long, Sent> sent = new LinkedHashMap<>();
    private long sequence;

    Heartbeats(ControlContext context) {
        this.context = context;
    }

    void send(Collection<Incarnation> witnesses, boolean recordsInLog) {
        sequence++;
        long offset = context.state().appliedOffset();
        sent.put(sequence, new Sent(context.nowNs(), offset, recordsInLog));
        sent.remove(sequence - MAX_KEPT_HEARTBEATS);
        for (Incarnation witness : witnesses) {
            context.send(witness, new PeerMessage.Heartbeat(context.self(), sequence, offset, recordsInLog));
        }
    }

    /** Returns the heartbeat of a sequence number, or null if it is no longer kept. */
    Sent find(long acked) {
        return sent.get(acked);
    }

    /** Send time and contents of a heartbeat. */
    record Sent(long sentNs, long appliedOffset, boolean recordsInLog) {}
}
