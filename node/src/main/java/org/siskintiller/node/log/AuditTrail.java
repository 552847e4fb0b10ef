package org.siskintiller.node.log;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;

/** Appends audit entries of changes that the companion makes on its own and that no other record contains. */
public final class AuditTrail {
    private static final long RETRY_DELAY_MS = 1000;
    /** Bounds the memory while the log is down. Further entries are then only in the process log. */
    private static final int MAX_PENDING = 200;

    private final Supplier<OperationId> operationIds;
    private final ScheduledExecutorService timer;
    private final Map<OperationId, ControlAction.Append> pending = new ConcurrentHashMap<>();
    private volatile ControlAppender appender;

    public AuditTrail(Supplier<OperationId> operationIds, ScheduledExecutorService timer) {
        this.operationIds = operationIds;
        this.timer = timer;
    }

    /** Sets the appender of the current incarnation and appends all pending entries with it. */
    public void setAppender(ControlAppender newAppender) {
        appender = newAppender;
        pending.values().forEach(newAppender::append);
    }

    public void record(AuditEntry entry) {
        ControlAppender current = appender;
        if (current == null || pending.size() >= MAX_PENDING) {
            return;
        }
        ControlAction.Append append = new ControlAction.Append(operationIds.get(), new LogRecord.Audited(entry));
        pending.put(append.operationId(), append);
        current.append(append);
    }

    /** Returns a consumer that handles the results of audit entries and passes all other events on. */
    public Consumer<ControlEvent> filter(Consumer<ControlEvent> otherEvents) {
        return event -> {
            if (!handle(event)) {
                otherEvents.accept(event);
            }
        };
    }

    private boolean handle(ControlEvent event) {
        if (event instanceof ControlEvent.AppendStored stored) {
            return pending.remove(stored.operationId()) != null;
        }
        if (event instanceof ControlEvent.AppendUncertain uncertain && pending.containsKey(uncertain.operationId())) {
            // Replay drops the duplicate if the first append takes effect later.
            timer.schedule(() -> retry(uncertain.operationId()), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            return true;
        }
        return false;
    }

    private void retry(OperationId id) {
        ControlAction.Append append = pending.get(id);
        if (append != null) {
            appender.append(append);
        }
    }
}
