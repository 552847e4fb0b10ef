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

/** Serves requests that another companion forwards. */
final class PeerRequests implements AutoCloseable {
    private final Supplier<Optional<Generation>> generation;
    private final long maxBodyBytes;
    private final ExecutorService workers;

    PeerRequests(Supplier<Optional<Generation>> generation, long maxBodyBytes, int maxRequests) {
        this.generation = generation;
        this.maxBodyBytes = maxBodyBytes;
        this.workers = Threads.bounded("peer-request", maxRequests);
    }

    /** Starts a request on a worker thread. Called on a network thread. */
    void accept(PeerStream stream, Proto.RequestHead head) {
        long arrivedNs = Clock.nowNs();
        try {
            workers.execute(() -> serve(stream, head, arrivedNs));
        } catch (RejectedExecutionException e) {
            stream.reset(Outcome.NOT_RUN, "the companion serves too many requests");
        }
    }

    private void serve(PeerStream stream, Proto.RequestHead protoHead, long arrivedNs) {
        Generation current = generation.get().orElse(null);
        if (current == null || !current.session().backendServer().service().equals(protoHead.getService())) {
            stream.reset(Outcome.NOT_RUN, "the companion does not serve " + protoHead.getService());
            return;
        }
        GatedRequest request;
        try {
            request = request(stream, protoHead, arrivedNs, current);
        } catch (IllegalArgumentException e) {
            EventLog.log(LogEvent.PEER_MALFORMED, e.getMessage());
            stream.reset(Outcome.NOT_RUN, "malformed request");
            return;
        }
        stream.onFailure(() -> current.gate().callerDisconnected(request.gate().id()));
        try {
            Attempt attempt = current.serve(request);
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

    private GatedRequest request(PeerStream stream, Proto.RequestHead protoHead, long arrivedNs, Generation current) {
        List<Header> headers = new ArrayList<>();
        long length = -1;
        for (Proto.Header header : protoHead.getHeadersList()) {
            if (header.getName().equalsIgnoreCase("Content-Length")) {
                length = RemoteCall.contentLength(header.getValue());
            } else {
                headers.add(new Header(header.getName(), header.getValue()));
            }
        }
        String key = protoHead.hasKey() ? protoHead.getKey() : null;
        String idempotencyKey = protoHead.hasIdempotencyKey() ? protoHead.getIdempotencyKey() : null;
        RequestHead head = new RequestHead(
                ModelCodec.fromProto(protoHead.getRequestId()),
                protoHead.getMethod(),
                protoHead.getService(),
                protoHead.getPath(),
                headers,
                key,
                protoHead.getCustomer(),
                protoHead.getRank(),
                idempotencyKey,
                protoHead.getGeneratedKey(),
                protoHead.getDeadlineMs(),
                length);
        boolean idempotent = current.control()
                .state()
                .config()
                .service(protoHead.getService())
                .map(service -> service.idempotent())
                .orElse(false);
        GateRequest gate = new GateRequest(
                head.id(),
                protoHead.getService(),
                protoHead.hasSlot() ? new SlotId(protoHead.getService(), protoHead.getSlot()) : null,
                protoHead.getCustomer(),
                protoHead.getRank(),
                idempotent,
                idempotencyKey,
                protoHead.getGeneratedKey(),
                protoHead.getDigest(),
                arrivedNs + TimeUnit.MILLISECONDS.toNanos(Math.min(protoHead.getDeadlineMs(), Integer.MAX_VALUE)),
                protoHead.getFingerprint(),
                RemoteCall.fromProto(protoHead.getSuspicionsList()));
        return new GatedRequest(
                head,
                gate,
                new LimitedInputStream(stream.incoming(), maxBodyBytes, length),
                new PeerSink(stream, () -> current.reportHead(protoHead.getFingerprint())));
    }

    @Override
    public void close() {
        workers.shutdownNow();
    }
}
