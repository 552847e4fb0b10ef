package org.siskintiller.router.control;

import java.util.LinkedHashSet;
import java.util.Set;

import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.store.AppendObserver;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoreResult;
import org.siskintiller.router.store.StoreTopic;

/** Appends to the control topic. A record takes effect when it is read back, whatever the result of its append. */
final class RecordAppender {
    /** Time without a response after which a connection may have failed: a slow store takes 0.4 s. */
    private static final long MAX_RESPONSE_NS = 500_000_000L;

    private final RecordStore store;
    private final Set<Call> pending = new LinkedHashSet<>();
    private AppendObserver observer;

    RecordAppender(RecordStore store) {
        this.store = store;
    }

    /** Sets what learns from the results of appends. Called before the first append. */
    void observe(AppendObserver newObserver) {
        observer = newObserver;
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
        long nowNs = System.nanoTime();
        pending.stream()
                .filter(earlier -> nowNs - earlier.sentNs >= MAX_RESPONSE_NS)
                .findFirst()
                .ifPresent(earlier -> {
                    // Idle connections may have failed together with that of the earlier call.
                    store.closeIdleConnections();
                    observer.appendOverdue(earlier.sentNs);
                });
        Call call = new Call(nowNs);
        pending.add(call);
        store.append(StoreTopic.CONTROL, expectedEnd, key, value, result -> {
            pending.remove(call);
            handleResult(key, expectedEnd, result);
            if (result instanceof StoreResult.Success<Long>) {
                stored.run();
            }
        });
    }

    private void handleResult(String key, long expectedEnd, StoreResult<Long> result) {
        if (result instanceof StoreResult.Conflict<Long> conflict) {
            EventLog.log(LogEvent.STORE_APPEND_CONFLICT, "key", key, "at", expectedEnd, "end", conflict.end());
            observer.endKnown(conflict.end());
            return;
        }
        if (result instanceof StoreResult.Success<Long>) {
            return;
        }
        EventLog.log(LogEvent.LOG_APPEND_UNCERTAIN, "key", key, "at", expectedEnd, "result", result.toString());
    }

    /** Append without a response so far. */
    private static final class Call {
        private final long sentNs;

        private Call(long sentNs) {
            this.sentNs = sentNs;
        }
    }
}
