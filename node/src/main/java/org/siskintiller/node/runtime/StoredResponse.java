package org.siskintiller.node.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.ResponseHead;
import org.siskintiller.node.request.ResponseSink;

/** Sends the stored outcome of a request as the response to its repeat. */
final class StoredResponse {

    private StoredResponse() {}

    /**
     * Returns the problem to send if the stored outcome cannot be sent as a response. A record with a content type and
     * without a body belongs to a response that was too large to store; without its body it would look complete.
     */
    static Optional<Problem> problem(RequestRecord record) {
        if (record.body().size() > 0 || record.contentType().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Problem(
                409,
                "answer-not-kept",
                "the request ran with status " + record.status() + "; its answer is no longer known",
                Outcome.RAN,
                "look up the effect; the request will not run again",
                0));
    }

    static void send(RequestRecord record, ResponseSink sink) throws IOException {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Siskin-Replayed", "true"));
        if (!record.contentType().isEmpty()) {
            headers.add(new Header("Content-Type", record.contentType()));
        }
        byte[] body = record.body().toArray();
        OutputStream out = sink.start(new ResponseHead(record.status(), headers, body.length));
        if (body.length > 0) {
            out.write(body);
        }
        sink.finish();
    }
}
