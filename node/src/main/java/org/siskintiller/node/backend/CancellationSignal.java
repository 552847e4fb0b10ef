package org.siskintiller.node.backend;

import java.util.ArrayList;
import java.util.List;

/** Lets the gate cancel a call that another thread carries out. */
public final class CancellationSignal {
    private final List<Runnable> actions = new ArrayList<>();
    private boolean cancelled;

    /** Adds what cancels the present step. It runs at once when the call is cancelled already. */
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
        List<Runnable> run;
        synchronized (this) {
            if (cancelled) {
                return;
            }
            cancelled = true;
            run = List.copyOf(actions);
        }
        run.forEach(Runnable::run);
    }

    public synchronized boolean isCancelled() {
        return cancelled;
    }
}
