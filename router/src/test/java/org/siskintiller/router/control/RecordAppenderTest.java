package org.siskintiller.router.control;

import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.router.store.AppendObserver;
import org.siskintiller.router.store.RecordBatch;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoreResult;
import org.siskintiller.router.store.StoreTopic;

import static com.google.common.truth.Truth.assertThat;

class RecordAppenderTest {
    /** Longer than a slow store takes. */
    private static final long SILENCE_MS = 600;

    private final FakeStore store = new FakeStore();
    private final RecordAppender appender = new RecordAppender(store);
    private final Recorder observer = new Recorder();

    @Nested
    class Unanswered {
        /** Guards against repeats that are lost one by one on connections which failed without a reset. */
        @Test
        void makesTheNextAppendUseANewConnection() throws Exception {
            append();
            Thread.sleep(SILENCE_MS);
            append();

            assertThat(store.closings).isEqualTo(1);
            assertThat(observer.overdue).isEqualTo(1);
        }
    }

    @Nested
    class Answered {
        /** Guards against new connections for each append on a calm day. */
        @Test
        void keepsIdleConnections() throws Exception {
            append();
            store.result.accept(new StoreResult.Success<>(1L));
            Thread.sleep(SILENCE_MS);
            append();
            append();

            assertThat(store.closings).isEqualTo(0);
            assertThat(observer.overdue).isEqualTo(0);
        }
    }

    @Nested
    class Rejected {
        /** Guards against a lost read that hides the records which an append has met. */
        @Test
        void tellsWhereTheTopicEnds() {
            append();
            store.result.accept(new StoreResult.Conflict<>(7));

            assertThat(observer.end).isEqualTo(7);
        }
    }

    @BeforeEach
    void observe() {
        appender.observe(observer);
    }

    private void append() {
        appender.append("key", new byte[0], RecordStore.ANY_END);
    }

    private static final class Recorder implements AppendObserver {
        private int overdue;
        private long end;

        @Override
        public void appendOverdue(long sentNs) {
            overdue++;
        }

        @Override
        public void endKnown(long newEnd) {
            end = newEnd;
        }
    }

    /** Store that answers when the test says so. */
    private static final class FakeStore implements RecordStore {
        private Consumer<StoreResult<Long>> result;
        private int closings;

        @Override
        public void newest(StoreTopic topic, long timeoutMs, Consumer<StoreResult<RecordBatch>> newResult) {
            throw new IllegalStateException("nothing is read");
        }

        @Override
        public void read(
                StoreTopic topic,
                long fromOffset,
                long waitMs,
                long timeoutMs,
                Consumer<StoreResult<RecordBatch>> newResult) {
            throw new IllegalStateException("nothing is read");
        }

        @Override
        public void append(
                StoreTopic topic, long expectedEnd, String key, byte[] value, Consumer<StoreResult<Long>> newResult) {
            result = newResult;
        }

        @Override
        public void closeIdleConnections() {
            closings++;
        }
    }
}
