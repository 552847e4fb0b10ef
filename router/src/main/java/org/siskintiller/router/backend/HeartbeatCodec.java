package org.siskintiller.router.backend;

import java.util.Optional;
import java.util.OptionalLong;

import org.siskintiller.core.lease.BackendHeartbeat;
import org.siskintiller.core.lease.HeartbeatResponse;
import org.siskintiller.core.path.BackendPresence.Announcement;

/** Decodes the messages that the backend server sends about itself and encodes the responses. */
public interface HeartbeatCodec {
    /** Returns the message in an HTTP request, or empty when the request is not one of these messages. */
    Optional<Message> decode(String method, String uri, byte[] body);

    /** Encodes the response to a heartbeat. */
    byte[] encode(HeartbeatResponse response);

    /** Message of the backend server. */
    sealed interface Message {}

    /** Regular heartbeat. */
    record Heartbeat(Announcement announcement, BackendHeartbeat keyReport) implements Message {}

    /**
     * The backend server is leaving.
     *
     * @param run start time of its run, if the message names it
     */
    record Leave(String id, OptionalLong run) implements Message {}

    /** The message cannot be decoded. */
    record Malformed(String detail) implements Message {}
}
