package org.siskintiller.standin.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.http.HttpBodies;

/** Journal with one JSON line per send. */
final class CallerJournal implements AutoCloseable {
    private static final long NS_PER_US = 1_000;

    private final Writer file;

    /** Without a path, nothing is written. */
    CallerJournal(Path path) throws IOException {
        this.file = path == null ? Writer.nullWriter() : Files.newBufferedWriter(path, StandardCharsets.UTF_8);
    }

    /**
     * Times of one send.
     *
     * @param sentNs monotonic time, comparable with the journals of the backend servers
     */
    record Times(long sentWallMs, long sentNs, long endNs) {}

    void write(CallerRequest request, int attempt, Address target, Times times, SendResult result) {
        ObjectNode line = HttpBodies.object()
                .put("tag", request.tag())
                .put("stream", request.stream().name())
                .put("service", request.stream().service())
                .put("rank", request.stream().rank())
                .put("customer", request.stream().customer())
                .put("key", request.keyOrEmpty())
                .put("idempotencyKey", request.idempotencyKey())
                .put("attempt", attempt)
                .put("target", target.toString())
                .put("intendedNs", request.intendedNs())
                .put("sentWallMs", times.sentWallMs())
                .put("sentNs", times.sentNs())
                .put("endNs", times.endNs())
                .put("latencyUs", (times.endNs() - request.intendedNs()) / NS_PER_US);
        addResult(line, result);
        try {
            synchronized (this) {
                file.write(HttpBodies.toLine(line) + "\n");
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the journal", e);
        }
    }

    private static void addResult(ObjectNode line, SendResult result) {
        if (result instanceof SendResult.Ok ok) {
            line.put("result", "ok").put("execution", ok.execution()).put("version", ok.version());
        } else if (result instanceof SendResult.Refused refused) {
            line.put("result", "refused").put("status", refused.status()).put("outcome", refused.outcome());
        } else if (result instanceof SendResult.Mismatched mismatched) {
            line.put("result", "mismatched").put("reason", mismatched.reason());
        } else if (result instanceof SendResult.Failed failed) {
            line.put("result", "failed").put("reason", failed.reason());
        }
    }

    @Override
    public synchronized void close() throws IOException {
        file.close();
    }
}
