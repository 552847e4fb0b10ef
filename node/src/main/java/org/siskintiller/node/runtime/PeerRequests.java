package org.siskintiller.node.runtime;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.node.peer.PeerStream;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.LimitedInputStream;
import org.siskintiller.node.request.RequestHead;
import org.siskintiller.wire.ModelCodec;
import org.siskintiller.wire.proto.Proto;

/** Serves requests that another companion passes on. */
final class PeerRequests implements AutoCloseable {
    private final Supplier<Optional<Generation>> generation;
    private final long maxBodyBytes;
    private final ExecutorService workers;

    PeerRequests(Supplier<Optional<Generation>> generation, long maxBodyBytes, int maxRequests) {
        this.generation = generation;
        this.maxBodyBytes = maxBodyBytes;
        this.workers = Threads.bounded("peer-request", maxRequests);
    }

    /** Starts a request on a worker; called on a network thread. */
    void accept(PeerStream stream, Proto.RequestHead head) {
        long arrivedNs = Clock.nowNs();
        try {
            workers.execute(() -> serve(stream, head, arrivedNs));
        } catch (RejectedExecutionException e) {
            stream.reset(Outcome.NOT_RUN, "the companion serves too many requests");
        }
    }

    private void serve(PeerStream stream, Proto.RequestHead frame, long arrivedNs) {
        Generation own = generation.get().orElse(null);
        if (own == null || !own.session().backendServer().service().equals(frame.getService())) {
            stream.reset(Outcome.NOT_RUN, "the companion does not serve " + frame.getService());
            return;
        }
        GatedRequest request;
        try {
            request = request(stream, frame, arrivedNs, own);
        } catch (IllegalArgumentException e) {
            EventLog.log(LogEvent.PEER_MALFORMED, e.getMessage());
            stream.reset(Outcome.NOT_RUN, "malformed request");
            return;
        }
        stream.onFailure(() -> own.gate().callerDisconnected(request.gate().id()));
        try {
            Attempt attempt = own.serve(request);
            if (attempt instanceof Attempt.Failed failed) {
                request.sink().refuse(failed.problem());
            }
        } catch (IOException e) {
            stream.reset(Outcome.UNKNOWN, "the answer could not be sent");
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.UNEXPECTED_ERROR, "request of a companion", e);
            stream.reset(Outcome.UNKNOWN, "unexpected error in the companion");
        }
    }

    private GatedRequest request(PeerStream stream, Proto.RequestHead frame, long arrivedNs, Generation own) {
        List<Header> headers = new ArrayList<>();
        long length = -1;
        for (Proto.Header header : frame.getHeadersList()) {
            if (header.getName().equalsIgnoreCase("Content-Length")) {
                length = RemoteCall.contentLength(header.getValue());
            } else {
                headers.add(new Header(header.getName(), header.getValue()));
            }
        }
        String key = frame.hasKey() ? frame.getKey() : null;
        String idempotencyKey = frame.hasIdempotencyKey() ? frame.getIdempotencyKey() : null;
        RequestHead head = new RequestHead(
                ModelCodec.fromProto(frame.getRequestId()),
                frame.getMethod(),
                frame.getService(),
                frame.getPath(),
                headers,
                key,
                frame.getCustomer(),
                frame.getRank(),
                idempotencyKey,
                frame.getGeneratedKey(),
                frame.getDeadlineMs(),
                length);
        boolean idempotent = own.control()
                .state()
                .config()
                .service(frame.getService())
                .map(service -> service.idempotent())
                .orElse(false);
        GateRequest gate = new GateRequest(
                head.id(),
                frame.getService(),
                frame.hasSlot() ? new SlotId(frame.getService(), frame.getSlot()) : null,
                frame.getCustomer(),
                frame.getRank(),
                idempotent,
                idempotencyKey,
                frame.getGeneratedKey(),
                frame.getDigest(),
                arrivedNs + TimeUnit.MILLISECONDS.toNanos(Math.min(frame.getDeadlineMs(), Integer.MAX_VALUE)),
                frame.getFingerprint(),
                RemoteCall.fromProto(frame.getSuspicionsList()));
        return new GatedRequest(
                head,
                gate,
                new LimitedInputStream(stream.incoming(), maxBodyBytes, length),
                new PeerSink(stream, () -> own.report(frame.getFingerprint())));
    }

    @Override
    public void close() {
        workers.shutdownNow();
    }
}
