package org.siskintiller.router.control;

import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoreResult;
import org.siskintiller.router.store.StoreTopic;

/** Appends to the control topic. Results are only logged: a record takes effect when it is read back. */
final class RecordAppender {
    private final RecordStore store;

    RecordAppender(RecordStore store) {
        this.store = store;
    }

    void append(String key, byte[] value, long expectedEnd) {
        store.append(StoreTopic.CONTROL, expectedEnd, key, value, result -> handleResult(key, expectedEnd, result));
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
