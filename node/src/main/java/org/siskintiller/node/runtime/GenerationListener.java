package org.siskintiller.node.runtime;

import org.siskintiller.core.control.ControlNotice;

/** Receives events of a generation. Calls come from the threads of the generation and must not block. */
interface GenerationListener {

    void onRetired(Generation generation, String reason);

    /** The control plane has completed the handover. */
    void onStopped(Generation generation);

    /** The session of the generation is to be drained. */
    void onDraining(Generation generation);

    /** No request waits or runs at the gate any more. */
    void onDrained(Generation generation);

    void onNotice(ControlNotice notice, String detail);

    void onBackendChanged(boolean serving, String reason);

    void onFailed(RuntimeException cause);
}
