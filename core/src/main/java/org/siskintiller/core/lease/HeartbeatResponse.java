package org.siskintiller.core.lease;

import java.util.List;

import org.siskintiller.core.keyrange.KeyGrant;

/**
 * Answer to a heartbeat.
 *
 * @param grants everything that the backend server may hold
 * @param holdMs time from the sending of the heartbeat for which it may hold it; 0 renews nothing
 */
public record HeartbeatResponse(List<KeyGrant> grants, long holdMs) {
    public static final HeartbeatResponse RENEWS_NOTHING = new HeartbeatResponse(List.of(), 0);

    public HeartbeatResponse {
        grants = List.copyOf(grants);
    }
}
