package org.siskintiller.node.backend;

import java.util.ArrayList;
import java.util.List;

/** Cancels a call that is executed on another thread. */
public final class CancellationSignal {
    private final List<Runnable> actions = new ArrayList<>();
    private boolean cancelled;

    /** Registers an action for {@link #cancel}; runs it immediately if the call is already cancelled. */
    public void onCancel(Runnable action) {
        synchronized (this) {
            if (!cancelled) {
                actions.add(action);
                return;
            }
        }
        action.run();
    }

    public void cancel() {
        List<Runnable> pendingActions;
        synchronized (this) {
            if (cancelled) {
                return;
            }
            cancelled = true;
            pendingActions = List.copyOf(actions);
        }
        pendingActions.forEach(Runnable::run);
    }

    public synchronized boolean isCancelled() {
        return cancelled;
    }
}
