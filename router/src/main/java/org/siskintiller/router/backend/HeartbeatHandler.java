package org.siskintiller.router.backend;

import java.util.List;
import java.util.Optional;

import org.siskintiller.core.lease.HeartbeatResponse;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.ingress.CallerHandler;
import org.siskintiller.router.ingress.CallerRequest;
import org.siskintiller.router.ingress.CallerResponse;
import org.siskintiller.router.request.Header;

/** Responds to the heartbeats of the backend server of this machine. */
public final class HeartbeatHandler implements CallerHandler {
    private static final List<Header> JSON = List.of(new Header("Content-Type", "application/json"));
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final HeartbeatCodec codec;
    private final BackendGate gate;
    private final KeyReports keyReports;

    public HeartbeatHandler(HeartbeatCodec codec, BackendGate gate, KeyReports keyReports) {
        this.codec = codec;
        this.gate = gate;
        this.keyReports = keyReports;
    }

    @Override
    public Runnable handle(CallerRequest request, CallerResponse response) {
        Optional<HeartbeatCodec.Message> message = codec.decode(request.method(), request.uri(), request.body());
        if (message.isEmpty()) {
            response.send(NOT_FOUND, List.of(), new byte[0]);
            return () -> {};
        }
        long nowNs = System.nanoTime();
        if (message.get() instanceof HeartbeatCodec.Heartbeat heartbeat) {
            handleHeartbeat(heartbeat, response, nowNs);
        } else if (message.get() instanceof HeartbeatCodec.Leave leave) {
            gate.processLeave(leave, nowNs);
            keyReports.backendLeft();
            keyReports.keepLeave(isKept -> response.send(isKept ? OK : UNAVAILABLE, List.of(), new byte[0]));
        } else if (message.get() instanceof HeartbeatCodec.Malformed malformed) {
            EventLog.log(LogEvent.BACKEND_ANNOUNCEMENT_INVALID, "cause", malformed.detail());
            response.send(BAD_REQUEST, List.of(), new byte[0]);
        }
        return () -> {};
    }

    private void handleHeartbeat(HeartbeatCodec.Heartbeat heartbeat, CallerResponse response, long nowNs) {
        boolean accepted = gate.processAnnouncement(heartbeat.announcement(), nowNs);
        if (!accepted) {
            response.send(OK, JSON, codec.encode(HeartbeatResponse.RENEWS_NOTHING));
            return;
        }
        boolean draining = heartbeat.announcement().draining();
        keyReports.heartbeat(heartbeat.keyReport(), content -> respond(response, codec.encode(content), draining));
    }

    /** Responds at once, but for a leave, which a response acknowledges: it must outlast this process. */
    private void respond(CallerResponse response, byte[] content, boolean draining) {
        if (!draining) {
            response.send(OK, JSON, content);
            return;
        }
        keyReports.keepLeave(isKept -> response.send(isKept ? OK : UNAVAILABLE, JSON, content));
    }
}
