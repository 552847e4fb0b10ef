package org.siskintiller.node.peer;

import java.net.InetSocketAddress;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.wire.proto.Proto;

/** Handles messages and requests of other companions. Called on network threads, so it must not block. */
public interface PeerHandler {

    /** Returns the incarnation that the hello of a new connection contains. */
    Incarnation incarnation();

    void onMessage(PeerMessage message);

    /** Handles a datagram. Its source is the address for responses to a companion without a known session. */
    void onDatagram(PeerMessage.Datagram message, InetSocketAddress source);

    /** Handles a request. The handler resets the stream if it cannot serve the request. */
    void onRequest(PeerStream stream, Proto.RequestHead head);
}
