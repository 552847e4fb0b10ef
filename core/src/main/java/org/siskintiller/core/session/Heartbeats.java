package org.siskintiller.core.session;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;

/** Sends heartbeats and remembers when each one was sent. */
final class Heartbeats {
    /** An ack of an older heartbeat than the last 64 could not extend the lease any more. */
    private static final int REMEMBERED = 64;

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
        sent.remove(sequence - REMEMBERED);
        for (Incarnation witness : witnesses) {
            context.send(witness, new PeerMessage.Heartbeat(context.self(), sequence, offset, recordsInLog));
        }
    }

    /** Returns the heartbeat of a sequence number, or null when it is unknown. */
    Sent find(long acked) {
        return sent.get(acked);
    }

    /** Heartbeat as it was sent. */
    record Sent(long sentNs, long appliedOffset, boolean recordsInLog) {}
}
