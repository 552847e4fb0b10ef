package org.siskintiller.node;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;

/**
 * Writes log lines to standard output in batches, each with one system call. Threads that log never block: when the
 * reader of standard output is slow and the queue is full, lines are dropped and counted.
 */
public final class BatchedConsoleAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    private static final int MAX_QUEUED_LINES = 4_096;
    /** Lines that were logged less than this time before the process is killed are lost. */
    private static final long FLUSH_INTERVAL_MS = 200;

    /** A process that is about to be killed must not wait longer for a reader of its output that is slow. */
    private static final long STOP_TIMEOUT_MS = 150;

    private final Queue<ILoggingEvent> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();
    private final PrintStream output = System.out;
    private ScheduledExecutorService writer;
    private Encoder<ILoggingEvent> encoder;

    public void setEncoder(Encoder<ILoggingEvent> newEncoder) {
        encoder = newEncoder;
    }

    @Override
    public void start() {
        if (encoder == null) {
            addError("the appender " + getName() + " needs an encoder");
            return;
        }
        writer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "log-writer");
            thread.setDaemon(true);
            return thread;
        });
        writer.scheduleWithFixedDelay(this::flush, FLUSH_INTERVAL_MS, FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
        super.start();
    }

    @Override
    public void stop() {
        if (!isStarted()) {
            return;
        }
        super.stop();
        writer.execute(this::flush);
        writer.shutdown();
        try {
            writer.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (queued.incrementAndGet() > MAX_QUEUED_LINES) {
            queued.decrementAndGet();
            dropped.incrementAndGet();
            return;
        }
        event.prepareForDeferredProcessing();
        queue.add(event);
    }

    /** Returns the number of lines dropped since the start. */
    public int dropped() {
        return dropped.get();
    }

    private void flush() {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        ILoggingEvent event = queue.poll();
        while (event != null) {
            queued.decrementAndGet();
            batch.writeBytes(encoder.encode(event));
            event = queue.poll();
        }
        if (batch.size() > 0) {
            output.write(batch.toByteArray(), 0, batch.size());
            output.flush();
        }
    }
}
