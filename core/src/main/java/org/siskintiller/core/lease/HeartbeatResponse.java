package org.siskintiller.core.lease;

import java.util.List;

import org.siskintiller.core.keyrange.KeyGrant;

/**
 * Response to a heartbeat of a backend server.
 *
 * @param grants all grants that the backend server may hold
 * @param holdMs time for which it may hold them, counted from the sending of the heartbeat; 0 renews nothing
 */
public record HeartbeatResponse(List<KeyGrant> grants, long holdMs) {
    public static final HeartbeatResponse RENEWS_NOTHING = new HeartbeatResponse(List.of(), 0);

    public HeartbeatResponse {
        grants = List.copyOf(grants);
    }
}
