package org.siskintiller.node.runtime;

import org.siskintiller.core.control.ControlNotice;

/** What a generation tells the companion. Calls come from the generation's threads and must not block. */
interface GenerationOwner {

    void retired(Generation generation, String reason);

    /** The control plane has handed everything over. */
    void stopped(Generation generation);

    /** The own session is to be drained. */
    void draining(Generation generation);

    /** Nothing runs at the gate any more. */
    void drained(Generation generation);

    void noticed(ControlNotice notice, String detail);

    void backendChanged(boolean serving, String reason);

    void failed(RuntimeException cause);
}
