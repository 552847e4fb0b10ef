package org.siskintiller.core.lease;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.keyrange.KeyRange;

/**
 * Part of a backend server's heartbeat that concerns its keys.
 *
 * @param run start time of the backend server's run
 * @param sequence increases within a run
 * @param listsHeld whether it lists the ranges that it holds; without the list nothing is known about them
 * @param held ranges that it holds or still processes requests for
 * @param handovers ranges that it released since its last acknowledged heartbeat, with the token for the next holder
 */
public record BackendHeartbeat(
        long run, long sequence, boolean listsHeld, List<KeyRange> held, List<Handover> handovers) {

    public BackendHeartbeat {
        held = List.copyOf(held);
        handovers = List.copyOf(handovers);
    }

    /** Creates a heartbeat that lists the ranges that the backend server holds. */
    public BackendHeartbeat(long run, long sequence, List<KeyRange> held, List<Handover> handovers) {
        this(run, sequence, true, held, handovers);
    }

    /** Token that lets the next holder of a range take over its state. */
    public record Handover(KeyRange range, String token) {
        public Handover {
            Objects.requireNonNull(range, "range");
            Objects.requireNonNull(token, "token");
        }
    }
}
