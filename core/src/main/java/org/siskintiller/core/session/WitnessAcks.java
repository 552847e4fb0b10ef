package org.siskintiller.core.session;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.Incarnation;

/** Newest ack of each witness of one holder. */
final class WitnessAcks {
    private static final long NEVER = Long.MIN_VALUE;

    private final Map<Incarnation, Ack> byWitness = new HashMap<>();

    /** Records the ack of a heartbeat. Send times and offsets only advance, so that late acks are harmless. */
    void onAck(Incarnation witness, Heartbeats.Sent heartbeat, long nowNs) {
        Ack ack = ackOf(witness);
        ack.lastResponseNs = nowNs;
        ack.sentNs = Math.max(ack.sentNs, heartbeat.sentNs());
        ack.offset = Math.max(ack.offset, heartbeat.appliedOffset());
        if (heartbeat.recordsInLog()) {
            ack.recordsInLogSentNs = Math.max(ack.recordsInLogSentNs, heartbeat.sentNs());
        }
    }

    void onEnded(Incarnation witness, long nowNs) {
        Ack ack = ackOf(witness);
        ack.lastResponseNs = nowNs;
        ack.ended = true;
    }

    /** Records the first heartbeat to a witness, from which the time without a response is measured. */
    void onHeartbeatSent(Incarnation witness, long nowNs) {
        Ack ack = ackOf(witness);
        if (ack.lastResponseNs == NEVER) {
            ack.lastResponseNs = nowNs;
        }
    }

    boolean hasEnded(Incarnation witness) {
        Ack ack = byWitness.get(witness);
        return ack != null && ack.ended;
    }

    /** Returns the time since the last response of a witness, or since the first heartbeat to it. */
    long sinceLastAckNs(Incarnation witness, long nowNs) {
        Ack ack = byWitness.get(witness);
        return ack == null || ack.lastResponseNs == NEVER ? 0 : nowNs - ack.lastResponseNs;
    }

    /** Returns the latest send time of a heartbeat that a renewal quorum has acked, or Long.MIN_VALUE. */
    long renewedNs(List<Incarnation> witnesses, boolean withRecordsInLog) {
        long[] times = new long[witnesses.size()];
        for (int i = 0; i < times.length; i++) {
            Ack ack = byWitness.get(witnesses.get(i));
            times[i] = ack == null ? NEVER : withRecordsInLog ? ack.recordsInLogSentNs : ack.sentNs;
        }
        return nthLargest(times, SessionTiming.renewalQuorum(times.length));
    }

    /** Returns the highest applied offset that this many witnesses have marked, or Long.MIN_VALUE. */
    long markedOffset(List<Incarnation> witnesses, int quorum) {
        long[] offsets = new long[witnesses.size()];
        for (int i = 0; i < offsets.length; i++) {
            Ack ack = byWitness.get(witnesses.get(i));
            offsets[i] = ack == null ? NEVER : ack.offset;
        }
        return nthLargest(offsets, quorum);
    }

    /** Whether too few witnesses remain for a renewal quorum. */
    boolean canNeverRenew(List<Incarnation> witnesses) {
        int remaining = 0;
        for (Incarnation witness : witnesses) {
            if (!hasEnded(witness)) {
                remaining++;
            }
        }
        return remaining < SessionTiming.renewalQuorum(witnesses.size());
    }

    private Ack ackOf(Incarnation witness) {
        return byWitness.computeIfAbsent(witness, key -> new Ack());
    }

    private static long nthLargest(long[] values, int n) {
        Arrays.sort(values);
        return values[values.length - n];
    }

    /** Responses of one witness. */
    private static final class Ack {
        private long lastResponseNs = NEVER;
        private long sentNs = NEVER;
        private long recordsInLogSentNs = NEVER;
        private long offset = NEVER;
        private boolean ended;
    }
}
