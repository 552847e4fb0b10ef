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

    /** Records that a witness acked a heartbeat. An ack of an older heartbeat than known changes nothing. */
    void acked(Incarnation witness, Heartbeats.Sent heartbeat, long nowNs) {
        Ack ack = of(witness);
        ack.heardNs = nowNs;
        ack.sentNs = Math.max(ack.sentNs, heartbeat.sentNs());
        ack.offset = Math.max(ack.offset, heartbeat.appliedOffset());
        if (heartbeat.recordsInLog()) {
            ack.flaggedNs = Math.max(ack.flaggedNs, heartbeat.sentNs());
        }
    }

    void ended(Incarnation witness, long nowNs) {
        Ack ack = of(witness);
        ack.heardNs = nowNs;
        ack.ended = true;
    }

    /** Remembers since when a witness is asked, so that its silence can be measured. */
    void asked(Incarnation witness, long nowNs) {
        Ack ack = of(witness);
        if (ack.heardNs == NEVER) {
            ack.heardNs = nowNs;
        }
    }

    boolean hasEnded(Incarnation witness) {
        Ack ack = byWitness.get(witness);
        return ack != null && ack.ended;
    }

    /** Time since which nothing was heard from a witness. */
    long sinceLastAckNs(Incarnation witness, long nowNs) {
        Ack ack = byWitness.get(witness);
        return ack == null || ack.heardNs == NEVER ? 0 : nowNs - ack.heardNs;
    }

    /** Newest send time that a renewal quorum has acked, or Long.MIN_VALUE. */
    long renewedNs(List<Incarnation> witnesses, boolean flagged) {
        long[] times = new long[witnesses.size()];
        for (int i = 0; i < times.length; i++) {
            Ack ack = byWitness.get(witnesses.get(i));
            times[i] = ack == null ? NEVER : flagged ? ack.flaggedNs : ack.sentNs;
        }
        return nthLargest(times, SessionTiming.renewalQuorum(times.length));
    }

    /** Highest applied offset that this many witnesses have marked, or Long.MIN_VALUE. */
    long markedOffset(List<Incarnation> witnesses, int quorum) {
        long[] offsets = new long[witnesses.size()];
        for (int i = 0; i < offsets.length; i++) {
            Ack ack = byWitness.get(witnesses.get(i));
            offsets[i] = ack == null ? NEVER : ack.offset;
        }
        return nthLargest(offsets, quorum);
    }

    /** Whether too few witnesses are left for a renewal quorum. */
    boolean canNeverRenew(List<Incarnation> witnesses) {
        int left = 0;
        for (Incarnation witness : witnesses) {
            if (!hasEnded(witness)) {
                left++;
            }
        }
        return left < SessionTiming.renewalQuorum(witnesses.size());
    }

    private Ack of(Incarnation witness) {
        return byWitness.computeIfAbsent(witness, key -> new Ack());
    }

    private static long nthLargest(long[] values, int n) {
        Arrays.sort(values);
        return values[values.length - n];
    }

    /** What one witness acked. */
    private static final class Ack {
        private long heardNs = NEVER;
        private long sentNs = NEVER;
        private long flaggedNs = NEVER;
        private long offset = NEVER;
        private boolean ended;
    }
}
