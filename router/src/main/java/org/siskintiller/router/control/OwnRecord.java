package org.siskintiller.router.control;

import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import org.siskintiller.core.retry.SpreadInterval;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoredRecord;

/**
 * Record of the control topic that only the companion of one instance writes. It is appended whenever the store has another
 * content, also when an earlier append takes effect late.
 */
final class OwnRecord {
    private final String key;
    private final Supplier<byte[]> content;
    private final RecordAppender appender;
    private byte[] stored = new byte[0];
    private final SpreadInterval retries = new SpreadInterval(ControlDriver.APPEND_RETRY_NS);

    OwnRecord(String key, Supplier<byte[]> content, RecordAppender appender) {
        this.key = key;
        this.content = content;
        this.appender = appender;
    }

    /** Takes the content of a record that was read. */
    void read(byte[] value) {
        stored = value;
    }

    /** Takes the content that the store has in its present era; none if a restored store may have lost it. */
    void compareWith(ControlState state) {
        stored = state.storedRecord(key).map(StoredRecord::value).orElse(new byte[0]);
    }

    boolean isStored() {
        return Arrays.equals(stored, content.get());
    }

    /**
     * Appends the content if the store has another one.
     *
     * @param confirmed runs when the store has confirmed the append
     */
    void appendIfNeeded(long nowNs, Runnable confirmed) {
        byte[] value = content.get();
        if (Arrays.equals(stored, value) || !retries.isDue(nowNs)) {
            return;
        }
        retries.attempted(nowNs, ThreadLocalRandom.current().nextDouble());
        appender.append(key, value, RecordStore.ANY_END, () -> {
            stored = value;
            confirmed.run();
        });
    }
}
