package org.siskintiller.node.runtime;

import org.siskintiller.core.control.ControlNotice;

/** What a generation tells the companion. Calls come from the generation's threads and must not block. */
interface GenerationListener {

    void onRetired(Generation generation, String reason);

    /** The control plane has handed everything over. */
    void onStopped(Generation generation);

    /** The own session is to be drained. */
    void onDraining(Generation generation);

    /** Nothing runs at the gate any more. */
    void onDrained(Generation generation);

    void onNotice(ControlNotice notice, String detail);

    void onBackendChanged(boolean serving, String reason);

    void onFailed(RuntimeException cause);
}
