package org.siskintiller.router.control;

import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoreResult;
import org.siskintiller.router.store.StoreTopic;

/** Appends to the control topic. A record takes effect when it is read back, whatever the result of its append. */
final class RecordAppender {
    private final RecordStore store;

    RecordAppender(RecordStore store) {
        this.store = store;
    }

    void append(String key, byte[] value, long expectedEnd) {
        append(key, value, expectedEnd, () -> {});
    }

    /**
     * Appends a record.
     *
     * @param stored runs when the store has confirmed the record
     */
    void append(String key, byte[] value, long expectedEnd, Runnable stored) {
        store.append(StoreTopic.CONTROL, expectedEnd, key, value, result -> {
            handleResult(key, expectedEnd, result);
            if (result instanceof StoreResult.Success<Long>) {
                stored.run();
            }
        });
    }

    private void handleResult(String key, long expectedEnd, StoreResult<Long> result) {
        if (result instanceof StoreResult.Conflict<Long> conflict) {
            EventLog.log(LogEvent.STORE_APPEND_CONFLICT, "key", key, "at", expectedEnd, "end", conflict.end());
            return;
        }
        if (result instanceof StoreResult.Success<Long>) {
            return;
        }
        EventLog.log(LogEvent.LOG_APPEND_UNCERTAIN, "key", key, "at", expectedEnd, "result", result.toString());
    }
}
