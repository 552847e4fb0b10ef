package org.siskintiller.node.runtime;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.replay.ClusterState;

/** Sends control messages to other companions. Must not block. */
interface PeerSender {

    void send(ClusterState state, Incarnation to, PeerMessage message);
}
