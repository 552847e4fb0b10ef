package org.siskintiller.core.lease;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.keyrange.KeyLoad;
import org.siskintiller.core.keyrange.KeyRange;

/**
 * What a holder tells the authority when it renews its lease.
 *
 * @param run start time of the backend server's run, 0 when none has announced itself
 * @param serving whether the backend server may get keys
 * @param capacity requests a second that the backend server can serve
 * @param lastFence highest fence of the service that the holder has read
 * @param released ranges that neither the holder nor its backend server holds any more
 * @param load rates of requests for its keys
 */
public record HolderReport(
        String instance,
        String service,
        long run,
        boolean serving,
        double capacity,
        long lastFence,
        List<Released> released,
        KeyLoad load) {

    public HolderReport {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(service, "service");
        released = List.copyOf(released);
        Objects.requireNonNull(load, "load");
    }

    /** A range under the fence of its grant, with the token for the next holder or an empty one. */
    public record Released(KeyRange range, long fence, String handover) {
        public Released {
            Objects.requireNonNull(range, "range");
            Objects.requireNonNull(handover, "handover");
        }
    }
}
