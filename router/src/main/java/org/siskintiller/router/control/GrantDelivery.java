package org.siskintiller.router.control;

import java.util.function.Consumer;

import org.siskintiller.core.lease.HeartbeatResponse;

/** Way in which the backend server of this machine learns which keys it holds. */
public interface GrantDelivery {
    /** Runs before a heartbeat is processed, which makes an earlier response that is not sent yet obsolete. */
    void heartbeatReceived();

    /**
     * Responds to a heartbeat that the holder has accepted.
     *
     * @param deferrable whether the response may wait for a change of keys
     */
    void heartbeatAccepted(Consumer<HeartbeatResponse> response, boolean deferrable);

    /** Passes on a change of the grants or the lease of the holder. */
    void holderChanged();

    /** Runs at regular intervals. */
    void tick();

    /** Prepares the end of the process. */
    void stop();
}
