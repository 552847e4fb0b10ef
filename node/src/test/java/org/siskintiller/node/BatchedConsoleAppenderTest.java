package org.siskintiller.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.encoder.EncoderBase;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BatchedConsoleAppenderTest {
    private final LoggerContext context = new LoggerContext();
    private final CountDownLatch encoderReleased = new CountDownLatch(1);
    private final List<String> encoded = Collections.synchronizedList(new ArrayList<>());

    @Nested
    class Logging {
        /** Guards against logging that blocks on a slow reader of standard output, and against an unbounded queue. */
        @Test
        void dropsLinesInsteadOfBlocking() throws Exception {
            BatchedConsoleAppender appender = appender(true);
            appender.doAppend(event("first"));
            // The writer thread takes the first line and then blocks in the encoder.
            Thread.sleep(500);
            for (int i = 0; i < 10_000; i++) {
                appender.doAppend(event("line " + i));
            }

            assertThat(appender.dropped()).isAtLeast(5_000);
            encoderReleased.countDown();
            appender.stop();
        }

        /** Guards against the loss of the last lines of a process that exits normally. */
        @Test
        void writesQueuedLinesOnStop() {
            BatchedConsoleAppender appender = appender(false);
            appender.doAppend(event("last"));
            appender.stop();

            assertThat(encoded).containsExactly("last");
        }
    }

    private BatchedConsoleAppender appender(boolean blocking) {
        context.setMDCAdapter(new LogbackMDCAdapter());
        BatchedConsoleAppender appender = new BatchedConsoleAppender();
        appender.setContext(context);
        appender.setEncoder(new EncoderBase<>() {
            @Override
            public byte[] headerBytes() {
                return new byte[0];
            }

            @Override
            public byte[] encode(ILoggingEvent event) {
                encoded.add(event.getFormattedMessage());
                if (blocking) {
                    await();
                }
                return (event.getFormattedMessage() + "\n").getBytes(StandardCharsets.UTF_8);
            }

            @Override
            public byte[] footerBytes() {
                return new byte[0];
            }
        });
        appender.start();
        return appender;
    }

    private void await() {
        try {
            encoderReleased.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private LoggingEvent event(String message) {
        LoggingEvent event = new LoggingEvent();
        event.setLoggerContext(context);
        event.setLevel(Level.INFO);
        event.setLoggerName("test");
        event.setMessage(message);
        return event;
    }
}
