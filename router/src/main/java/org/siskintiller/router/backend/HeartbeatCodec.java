package org.siskintiller.router.backend;

import java.util.Optional;

import org.siskintiller.core.lease.BackendHeartbeat;
import org.siskintiller.core.lease.HeartbeatResponse;
import org.siskintiller.core.path.BackendPresence.Announcement;

/** Reads the messages of the backend server about itself and writes the answers. */
public interface HeartbeatCodec {
    /** Returns the message of a call, or nothing when the call is none of these. */
    Optional<Message> decode(String method, String uri, byte[] body);

    /** Encodes the answer to a heartbeat. */
    byte[] encode(HeartbeatResponse answer);

    /** Message of the backend server. */
    sealed interface Message {}

    /** Regular heartbeat. */
    record Heartbeat(Announcement announcement, BackendHeartbeat beat) implements Message {}

    /** The backend server leaves. */
    record Leave(String id) implements Message {}

    /** The message cannot be used. */
    record Malformed(String detail) implements Message {}
}
