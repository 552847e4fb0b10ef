package org.siskintiller.router.backend;

import java.util.function.Consumer;

import org.siskintiller.core.lease.BackendHeartbeat;
import org.siskintiller.core.lease.HeartbeatResponse;

/** Receives what the backend server of this machine reports of its keys. */
public interface KeyReports {
    /** Processes a heartbeat and passes its response on. */
    void heartbeat(BackendHeartbeat heartbeat, Consumer<HeartbeatResponse> response);

    /** The backend server announced that it leaves. */
    void backendLeft();

    /** Passes on whether later processes will know of the leave, as soon as they will. */
    void keepLeave(Consumer<Boolean> result);
}
