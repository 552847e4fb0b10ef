import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of what was sent, answered and run, with the time in ms since the start. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;
    private boolean closed;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String text) {
        // Threads that still run at the end of a script.
        if (closed) {
            return;
        }
        out.printf("%6d  %s%n", nowMs(), text);
    }

    @Override
    public synchronized void close() {
        closed = true;
        out.close();
    }
}
