package org.siskintiller.node.backend;

import java.util.function.BooleanSupplier;

import org.siskintiller.core.model.Fence;
import org.siskintiller.node.request.RequestHead;
import org.siskintiller.node.request.ResponseSink;

/**
 * One request to the backend server.
 *
 * @param slot slot number, -1 for a request without slot
 * @param fence fencing token, or null
 * @param rank rank under which the gate admitted the request
 * @param mayDispatch evaluated directly before the request is written; the call is not run when it is false
 * @param onResponseStarted run when the head of the response has arrived
 * @param storeResponse whether the response is stored for repeats of the request
 */
public record BackendCall(
        RequestHead head,
        CallerBody body,
        ResponseSink sink,
        int slot,
        Fence fence,
        String rank,
        long deadlineNs,
        BooleanSupplier mayDispatch,
        Runnable onResponseStarted,
        boolean storeResponse,
        CancellationSignal cancel) {}
