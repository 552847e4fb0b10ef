package org.siskintiller.standin.caller;

import java.util.List;

import org.siskintiller.core.model.Address;

/**
 * Load that a caller generates.
 *
 * @param targets companions to which requests are sent in turn
 * @param maxInFlight maximum number of open requests; further ones are counted as skipped and not sent
 * @param marginMs time after the deadline of a request until the caller stops waiting for the response
 */
record CallerMix(
        List<Address> targets, long durationMs, long seed, int maxInFlight, long marginMs, List<StreamSpec> streams) {

    CallerMix {
        targets = List.copyOf(targets);
        streams = List.copyOf(streams);
        if (targets.isEmpty() || streams.isEmpty()) {
            throw new IllegalArgumentException("a mix needs at least one target and one [stream NAME] section");
        }
        if (durationMs < 1 || maxInFlight < 1 || marginMs < 0) {
            throw new IllegalArgumentException("duration_ms and max_in_flight must be above 0, margin_ms at least 0");
        }
    }
}
