package org.siskintiller.router.store;

import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** Interface to the platform's store. Each result is delivered exactly once, on the event loop. */
public interface RecordStore {
    /** Expected end of an append without a condition. */
    long ANY_END = -1;

    /** Reads the newest record of each key, and the end that the topic had before the read. */
    void newest(StoreTopic topic, long timeoutMs, Consumer<StoreResult<RecordBatch>> result);

    /** Reads records from the given offset on. Waits up to the given time if there is none. */
    void read(
            StoreTopic topic, long fromOffset, long waitMs, long timeoutMs, Consumer<StoreResult<RecordBatch>> result);

    /** Appends a record if the topic ends at the expected offset, or in any case if that is {@link #ANY_END}. */
    void append(StoreTopic topic, long expectedEnd, String key, byte[] value, Consumer<StoreResult<Long>> result);

    /**
     * Sets what receives the era of the store before the first result of that era is delivered. The era increases when the
     * store was restored from an older copy.
     */
    default void onEra(LongConsumer listener) {}

    /** Closes connections that wait for the next call, because they may have failed without a reset. */
    default void closeIdleConnections() {}
}
