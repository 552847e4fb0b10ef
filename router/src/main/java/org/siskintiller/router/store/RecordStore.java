package org.siskintiller.router.store;

import java.util.function.Consumer;

/** The platform's store. Results arrive on the event loop, each exactly once. */
public interface RecordStore {
    /** Condition of an append that may go to any end of the topic. */
    long ANY_END = -1;

    /** Reads the newest record of each key and the end of the topic from before the read. */
    void newest(StoreTopic topic, Consumer<StoreResult<RecordBatch>> result);

    /** Reads from an offset on and waits for a record up to the given time. */
    void read(StoreTopic topic, long from, long waitMs, Consumer<StoreResult<RecordBatch>> result);

    /** Appends a record, on condition that the topic ends at the given offset unless it is {@link #ANY_END}. */
    void append(StoreTopic topic, long at, String key, byte[] value, Consumer<StoreResult<Long>> result);
}
