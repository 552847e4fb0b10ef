package org.siskintiller.node.runtime;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.siskintiller.config.CompanionSettings;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;

/** Finds the address of a companion: from its session record, or from the source of its last datagram. */
final class PeerDirectory {
    private static final int MAX_SOURCES = 4096;

    private final CompanionSettings settings;
    private final Map<Incarnation, InetSocketAddress> sources = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, InetSocketAddress> eldest) {
            return size() > MAX_SOURCES;
        }
    };

    PeerDirectory(CompanionSettings settings) {
        this.settings = settings;
    }

    /** Stores the source of a datagram, for responses to sessions whose record is not applied here yet. */
    void recordSource(PeerMessage.Datagram message, InetSocketAddress source) {
        synchronized (sources) {
            sources.put(senderOf(message), source);
        }
    }

    Optional<Address> tcp(ClusterState state, Incarnation incarnation) {
        return state.session(incarnation).map(this::tcp);
    }

    Address tcp(Session session) {
        return settings.translate(session.peerAddress());
    }

    Optional<InetSocketAddress> udp(ClusterState state, Incarnation incarnation) {
        Optional<Address> recorded = tcp(state, incarnation);
        if (recorded.isPresent()) {
            return recorded.map(address -> new InetSocketAddress(address.host(), address.port()));
        }
        synchronized (sources) {
            return Optional.ofNullable(sources.get(incarnation));
        }
    }

    private static Incarnation senderOf(PeerMessage.Datagram message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            return heartbeat.holder();
        }
        if (message instanceof PeerMessage.HeartbeatAck ack) {
            return ack.witness();
        }
        if (message instanceof PeerMessage.LapseNotice notice) {
            return notice.witness();
        }
        if (message instanceof PeerMessage.EndClaim claim) {
            return claim.claimant();
        }
        return ((PeerMessage.EndClaimReply) message).witness();
    }
}
