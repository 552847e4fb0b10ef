package org.siskintiller.node.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.ResponseHead;
import org.siskintiller.node.request.ResponseSink;

/** Answers a repeated request with the stored outcome of the first one. */
final class StoredAnswer {

    private StoredAnswer() {}

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
