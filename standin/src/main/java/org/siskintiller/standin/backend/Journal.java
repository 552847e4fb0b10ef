package org.siskintiller.standin.backend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

import org.siskintiller.standin.http.HttpBodies;

/** Executions in start order. Beyond the limit, the oldest are dropped. */
final class Journal implements AutoCloseable {
    private final int limit;
    private final Writer file;
    private final ArrayDeque<Execution> executions = new ArrayDeque<>();
    private long dropped;

    /** The file may be null. Finished executions in it survive a killed process. */
    Journal(int limit, Path path) throws IOException {
        this.limit = limit;
        this.file = path == null
                ? null
                : Files.newBufferedWriter(
                        path, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    synchronized void recordStart(Execution execution) {
        executions.addLast(execution);
        if (executions.size() > limit) {
            executions.removeFirst();
            dropped++;
        }
    }

    synchronized void recordEnd(Execution execution) {
        if (file == null) {
            return;
        }
        try {
            file.write(HttpBodies.toLine(execution.toJson()) + "\n");
            file.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the journal", e);
        }
    }

    synchronized long dropped() {
        return dropped;
    }

    byte[] toLines() throws IOException {
        List<Execution> copy;
        synchronized (this) {
            copy = new ArrayList<>(executions);
        }
        StringBuilder lines = new StringBuilder();
        for (Execution execution : copy) {
            lines.append(HttpBodies.toLine(execution.toJson())).append('\n');
        }
        return lines.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }
}
