package org.siskintiller.router.backend;

import org.siskintiller.core.lease.KeyOrder;

/** Encodes orders to the backend server. */
public interface KeyOrderCodec {
    /** Returns the path to which the order is posted. */
    String path(KeyOrder order);

    /**
     * Encodes an order.
     *
     * @param holdMs time for which a granted range may be held, 0 for a release
     */
    byte[] encode(KeyOrder order, long holdMs);

    /** Returns the name of the header with the handover token in the response to a release. */
    String handoverHeader();
}
