package org.siskintiller.core.control;

import java.util.List;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.session.WitnessChoice;

/** Opens the own session once the log was read to its tail and the backend server serves. */
final class SessionOpener {
    private final ControlContext context;
    private final Appender appender;
    private boolean tailSeen;
    private boolean serving;
    private boolean cancelled;
    private OperationId pending;

    SessionOpener(ControlContext context, Appender appender) {
        this.context = context;
        this.appender = appender;
    }

    void onTail() {
        tailSeen = true;
        open();
    }

    void onBackendServer(boolean nowServing) {
        serving = nowServing;
        open();
    }

    /** The own record was read but had no effect: a chosen witness has ended meanwhile. */
    void onVoid(OperationId id) {
        if (id.equals(pending)) {
            pending = null;
            open();
        }
    }

    /** The state jumped to a snapshot. An own record in it that opened no session was void. */
    void onStateReplaced() {
        if (pending != null && !appender.isPending(pending) && !context.state().isOpen(context.self())) {
            pending = null;
            open();
        }
    }

    /** No session is opened from now on. Returns whether one may still open by an append under way. */
    boolean cancel() {
        cancelled = true;
        return pending != null;
    }

    boolean isServing() {
        return serving;
    }

    private void open() {
        if (!tailSeen || !serving || cancelled || pending != null) {
            return;
        }
        List<Incarnation> witnesses = WitnessChoice.choose(context.state(), context.self(), List.of(), Set.of());
        pending =
                appender.append(new LogRecord.SessionOpened(context.ownSession().withWitnesses(witnesses, 0)));
    }
}
