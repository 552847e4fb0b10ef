package org.siskintiller.node.runtime;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.node.http.ProblemReader;
import org.siskintiller.node.peer.PeerStream;
import org.siskintiller.node.peer.PeerTransport;
import org.siskintiller.node.peer.StreamFailedException;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.LimitedInputStream;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.RequestHead;
import org.siskintiller.node.request.ResponseHead;
import org.siskintiller.node.request.Streams;
import org.siskintiller.wire.ModelCodec;
import org.siskintiller.wire.proto.Proto;

/** Forwards a request to the companion of the owner and returns its response to the caller. */
final class RemoteCall {
    /** Problem type of a request that did not reach the companion. */
    static final String UNREACHABLE = "owner-unreachable";
    /** Problem type of a request that may have run and whose response is missing. */
    static final String RESPONSE_LOST = "answer-lost";

    private static final int MAX_PROBLEM_BYTES = 16 * 1024;
    /** Wait beyond the deadline, at which the gate of the other companion responds at the latest. */
    private static final long RESPONSE_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(250);

    private final PeerTransport transport;
    private final Executor bodyThreads;

    /**
     * Creates the client side of calls between companions.
     *
     * @param bodyThreads threads that send request bodies
     */
    RemoteCall(PeerTransport transport, Executor bodyThreads) {
        this.transport = transport;
        this.bodyThreads = bodyThreads;
    }

    /**
     * Sends the request and forwards the response to the caller.
     *
     * @param onReport receives the head of the response with admitted shares, load and suspicions
     */
    Attempt call(GatedRequest request, Address to, Consumer<Proto.ResponseHead> onReport) {
        PeerStream stream;
        try {
            stream = transport.open(to, requestHead(request));
        } catch (StreamFailedException e) {
            return unreachable(e);
        }
        sendBody(request, stream);
        Proto.ResponseHead head;
        try {
            long waitNs = request.gate().deadlineNs() - Clock.nowNs() + RESPONSE_GRACE_NS;
            head = stream.responseHead().get(Math.max(1, waitNs), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            return unreachable((StreamFailedException) e.getCause());
        } catch (TimeoutException e) {
            stream.reset(Outcome.UNKNOWN, "the deadline passed");
            // Not counted against the companion, which may be waiting for its backend server. A dead connection is
            // detected by its missing pings.
            return failed(new StreamFailedException(Outcome.UNKNOWN, "no answer within the deadline"), false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stream.reset(Outcome.UNKNOWN, "the companion stops");
            return unreachable(new StreamFailedException(Outcome.UNKNOWN, "the companion stops"));
        }
        onReport.accept(head);
        return receiveResponse(request, stream, head);
    }

    private void sendBody(GatedRequest request, PeerStream stream) {
        if (!request.head().hasBody()) {
            copyBody(request.body(), stream);
            return;
        }
        bodyThreads.execute(() -> copyBody(request.body(), stream));
    }

    private static void copyBody(InputStream body, PeerStream stream) {
        try {
            Streams.copy(body, stream.outgoing());
            stream.finish();
        } catch (StreamFailedException | Streams.TargetLostException e) {
            stream.reset(Outcome.UNKNOWN, "the stream failed");
        } catch (IOException e) {
            stream.reset(Outcome.UNKNOWN, "the caller's body was cut");
        }
    }

    private static Attempt receiveResponse(GatedRequest request, PeerStream stream, Proto.ResponseHead head) {
        List<Header> headers = new ArrayList<>();
        long length = -1;
        boolean isProblem = false;
        for (Proto.Header header : head.getHeadersList()) {
            if (header.getName().equalsIgnoreCase("Content-Length")) {
                length = contentLength(header.getValue());
            } else {
                isProblem |= header.getName().equalsIgnoreCase(PeerSink.OUTCOME_HEADER);
                headers.add(new Header(header.getName(), header.getValue()));
            }
        }
        try {
            if (isProblem) {
                return readProblem(stream);
            }
            return forwardResponse(request, stream, new ResponseHead(head.getStatus(), headers, length));
        } catch (IOException e) {
            if (!request.sink().started()) {
                return unreachable(new StreamFailedException(Outcome.RAN, "the answer was cut: " + e.getMessage()));
            }
            EventLog.log(LogEvent.RESPONSE_CUT, request.gate().id() + ": " + e.getMessage());
            request.sink().abort(e.getMessage());
            return new Attempt.Responded(false);
        } finally {
            // Ends a request body that is still being sent after the response is complete; has no effect otherwise.
            stream.reset(Outcome.UNKNOWN, "the answer is complete");
        }
    }

    /** Returns the length, or -1 if it is malformed; the body then ends with the stream. */
    static long contentLength(String value) {
        try {
            return Math.max(-1, Long.parseLong(value));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static Attempt forwardResponse(GatedRequest request, PeerStream stream, ResponseHead head)
            throws IOException {
        boolean hasNoBody = request.head().method().equals("HEAD") || head.status() == 204 || head.status() == 304;
        InputStream body =
                new LimitedInputStream(stream.incoming(), Long.MAX_VALUE, hasNoBody ? -1 : head.contentLength());
        OutputStream out = request.sink().start(head);
        Streams.copy(body, out);
        request.sink().finish();
        return new Attempt.Responded(true);
    }

    private static Attempt readProblem(PeerStream stream) throws IOException {
        byte[] body = stream.incoming().readNBytes(MAX_PROBLEM_BYTES);
        Problem problem = ProblemReader.read(body)
                .orElse(new Problem(
                        502, "malformed-answer", "the companion's answer is malformed", Outcome.UNKNOWN, "retry", 0));
        return new Attempt.Failed(problem, false);
    }

    private static Attempt unreachable(StreamFailedException cause) {
        return failed(cause, true);
    }

    private static Attempt failed(StreamFailedException cause, boolean unreachable) {
        boolean notRun = cause.outcome() == Outcome.NOT_RUN;
        return new Attempt.Failed(
                new Problem(
                        notRun ? 503 : 502,
                        notRun ? UNREACHABLE : RESPONSE_LOST,
                        String.valueOf(cause.getMessage()),
                        cause.outcome(),
                        notRun ? "retry" : "repeat with the same Idempotency-Key, or if the request is idempotent",
                        0),
                unreachable);
    }

    private static Proto.RequestHead.Builder requestHead(GatedRequest request) {
        RequestHead head = request.head();
        GateRequest gate = request.gate();
        Proto.RequestHead.Builder builder = Proto.RequestHead.newBuilder()
                .setRequestId(ModelCodec.toProto(head.id()))
                .setMethod(head.method())
                .setPath(head.path())
                .setService(head.service())
                .setCustomer(gate.customer())
                .setRank(gate.rank())
                .setGeneratedKey(gate.generatedKey())
                .setDigest(gate.digest())
                .setFingerprint(gate.fingerprint())
                .setDeadlineMs(Math.max(1, (gate.deadlineNs() - Clock.nowNs()) / 1_000_000));
        for (Header header : head.headers()) {
            builder.addHeaders(Proto.Header.newBuilder().setName(header.name()).setValue(header.value()));
        }
        if (head.contentLength() >= 0) {
            builder.addHeaders(
                    Proto.Header.newBuilder().setName("Content-Length").setValue(Long.toString(head.contentLength())));
        }
        if (gate.slot() != null) {
            builder.setSlot(gate.slot().slot());
        }
        if (head.key() != null) {
            builder.setKey(head.key());
        }
        if (gate.idempotencyKey() != null) {
            builder.setIdempotencyKey(gate.idempotencyKey());
        }
        for (Suspicion suspicion : gate.suspicions()) {
            builder.addSuspicions(toProto(suspicion));
        }
        return builder;
    }

    static Proto.Suspicion toProto(Suspicion suspicion) {
        Proto.Suspicion.Builder builder = Proto.Suspicion.newBuilder().setFingerprint(suspicion.fingerprint());
        for (Incarnation lost : suspicion.lostAt()) {
            builder.addLostAt(lost.id());
        }
        return builder.build();
    }

    static List<Suspicion> fromProto(List<Proto.Suspicion> suspicions) {
        List<Suspicion> result = new ArrayList<>();
        for (Proto.Suspicion suspicion : suspicions) {
            java.util.Set<Incarnation> lost = new java.util.HashSet<>();
            suspicion.getLostAtList().forEach(id -> lost.add(new Incarnation(id)));
            result.add(new Suspicion(suspicion.getFingerprint(), lost));
        }
        return result;
    }
}
