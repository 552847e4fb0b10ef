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

/** Appends audit entries of changes that the companion makes by itself and no other record expresses. */
public final class AuditTrail {
    private static final long RETRY_MS = 1000;
    /** Bounds the memory while the log is down. Later entries are only in the process log then. */
    private static final int MAX_PENDING = 200;

    private final Supplier<OperationId> ids;
    private final ScheduledExecutorService timer;
    private final Map<OperationId, ControlAction.Append> pending = new ConcurrentHashMap<>();
    private volatile ControlAppender appender;

    public AuditTrail(Supplier<OperationId> ids, ScheduledExecutorService timer) {
        this.ids = ids;
        this.timer = timer;
    }

    /** Uses the appender of the present incarnation from now on. */
    public void use(ControlAppender newAppender) {
        appender = newAppender;
        pending.values().forEach(newAppender::append);
    }

    public void record(AuditEntry entry) {
        ControlAppender present = appender;
        if (present == null || pending.size() >= MAX_PENDING) {
            return;
        }
        ControlAction.Append append = new ControlAction.Append(ids.get(), new LogRecord.Audited(entry));
        pending.put(append.operationId(), append);
        present.append(append);
    }

    /** Returns a consumer that keeps the results of audit entries and passes all others on. */
    public Consumer<ControlEvent> filter(Consumer<ControlEvent> others) {
        return event -> {
            if (!handles(event)) {
                others.accept(event);
            }
        };
    }

    private boolean handles(ControlEvent event) {
        if (event instanceof ControlEvent.AppendStored stored) {
            return pending.remove(stored.operationId()) != null;
        }
        if (event instanceof ControlEvent.AppendUncertain uncertain && pending.containsKey(uncertain.operationId())) {
            // Replay drops the duplicate if the first append takes effect after all.
            timer.schedule(() -> again(uncertain.operationId()), RETRY_MS, TimeUnit.MILLISECONDS);
            return true;
        }
        return false;
    }

    private void again(OperationId id) {
        ControlAction.Append append = pending.get(id);
        if (append != null) {
            appender.append(append);
        }
    }
}
