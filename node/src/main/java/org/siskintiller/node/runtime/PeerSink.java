package org.siskintiller.node.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.function.Supplier;

import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.node.http.ProblemWriter;
import org.siskintiller.node.peer.PeerStream;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.ResponseHead;
import org.siskintiller.node.request.ResponseSink;
import org.siskintiller.wire.proto.Proto;

/** Sends a response to another companion. */
final class PeerSink implements ResponseSink {
    static final String OUTCOME_HEADER = "Siskin-Outcome";

    private final PeerStream stream;
    private final Supplier<Proto.ResponseHead.Builder> report;
    private boolean started;
    private boolean aborted;

    /**
     * Creates the sink of a response to the ingress companion.
     *
     * @param report supplies a head with the admitted shares, load and suspicions of this companion
     */
    PeerSink(PeerStream stream, Supplier<Proto.ResponseHead.Builder> report) {
        this.stream = stream;
        this.report = report;
    }

    @Override
    public OutputStream start(ResponseHead head) throws IOException {
        started = true;
        Proto.ResponseHead.Builder builder = report.get().setStatus(head.status());
        for (Header header : head.headers()) {
            if (!header.name().equalsIgnoreCase("content-length")) {
                builder.addHeaders(
                        Proto.Header.newBuilder().setName(header.name()).setValue(header.value()));
            }
        }
        if (head.contentLength() >= 0) {
            builder.addHeaders(
                    Proto.Header.newBuilder().setName("Content-Length").setValue(Long.toString(head.contentLength())));
        }
        stream.respond(builder);
        return stream.outgoing();
    }

    @Override
    public void finish() throws IOException {
        stream.finish();
    }

    @Override
    public void abort(String reason) {
        aborted = true;
        stream.reset(Outcome.RAN, reason);
    }

    @Override
    public void refuse(Problem problem) throws IOException {
        byte[] body = ProblemWriter.write(problem);
        List<Header> headers = List.of(
                new Header("Content-Type", ProblemWriter.CONTENT_TYPE),
                new Header(OUTCOME_HEADER, problem.outcome().label()));
        start(new ResponseHead(problem.status(), headers, body.length)).write(body);
        finish();
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public boolean aborted() {
        return aborted;
    }
}
