package org.siskintiller.node.peer;

import java.net.InetSocketAddress;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.wire.proto.Proto;

/** Receives what other companions send. Called on network threads, so it must not block. */
public interface PeerHandler {

    /** Incarnation that new connections present. */
    Incarnation incarnation();

    void onMessage(PeerMessage message);

    /** A datagram arrived; the source is remembered for answers to companions without a known session. */
    void onDatagram(PeerMessage.Datagram message, InetSocketAddress source);

    /** A request arrived. The handler resets the stream when it cannot serve it. */
    void onRequest(PeerStream stream, Proto.RequestHead head);
}
