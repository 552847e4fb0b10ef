package org.siskintiller.core.lease;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.keyrange.KeyLoad;
import org.siskintiller.core.keyrange.KeyRange;

/**
 * Report of a holder to the authority, by which it renews its lease.
 *
 * @param run start time of the backend server's run, 0 when no backend server has announced itself
 * @param serving whether keys may be assigned to the backend server
 * @param capacity requests a second that the backend server can serve
 * @param lastFence highest fence of the service that the holder has read
 * @param released ranges that the holder and its backend server no longer hold
 * @param load request rates of the holder's keys
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

    /** Released range with the fence of its grant and the token for the next holder, empty when there is none. */
    public record Released(KeyRange range, long fence, String handover) {
        public Released {
            Objects.requireNonNull(range, "range");
            Objects.requireNonNull(handover, "handover");
        }
    }
}
