package org.siskintiller.router.backend;

import org.siskintiller.core.admission.QueuedRequest;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.ResponseHead;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.request.SentRequest;

/** Request in the queue in front of the backend server, or in execution there. */
final class GateCall extends QueuedRequest implements SentRequest, BackendExchange {
    /** Where the call is on its way. */
    enum State {
        /** Waits for its key to be granted. */
        AWAITING_GRANT,
        QUEUED,
        CONNECTING,
        RUNNING,
        ENDED
    }

    private final BackendGate gate;
    private final ForwardedRequest request;
    private final ResponseListener listener;
    private final long arrivedNs;
    private State state = State.AWAITING_GRANT;
    private BackendConnection connection;
    private String expectedInstance = "";
    private long dispatchedNs;
    private int status;
    /** The same request in another rank. */
    private GateCall replacement;

    GateCall(
            BackendGate gate,
            ForwardedRequest request,
            ResponseListener listener,
            QueuePlace place,
            long sequence,
            long arrivedNs) {
        super(place.rank(), "", place.deadlineNs(), sequence);
        this.gate = gate;
        this.request = request;
        this.listener = listener;
        this.arrivedNs = arrivedNs;
    }

    @Override
    public ForwardedRequest request() {
        return request;
    }

    @Override
    public String expectedInstance() {
        return expectedInstance;
    }

    @Override
    public void cancel() {
        if (replacement != null) {
            replacement.cancel();
            return;
        }
        gate.cancelled(this);
    }

    @Override
    public void credit(int bytes) {
        if (replacement != null) {
            replacement.credit(bytes);
            return;
        }
        if (state == State.RUNNING) {
            connection.credit(bytes);
        }
    }

    @Override
    public void started(ResponseHead head) {
        status = head.status();
        listener.started(head);
    }

    @Override
    public void data(byte[] data, boolean last) {
        if (last) {
            gate.answered(this);
        }
        listener.data(data, last);
    }

    @Override
    public void rejected(int rejectionStatus) {
        gate.rejected(this, rejectionStatus);
    }

    @Override
    public void broken(String detail) {
        gate.broken(this, detail);
    }

    @Override
    public void loadReported(int running, int waiting, int slots) {
        gate.loadReported(running, slots);
    }

    /** Continues the request in another rank. */
    GateCall withPlace(QueuePlace place, long sequence) {
        requireNotSent();
        replacement = new GateCall(gate, request, listener, place, sequence, arrivedNs);
        return replacement;
    }

    /** Guards against a request that is sent twice because it is both in execution and in a queue. */
    private void requireNotSent() {
        if (replacement != null || state != State.AWAITING_GRANT && state != State.QUEUED) {
            throw new IllegalStateException("request " + request.requestId() + " is " + state + " already");
        }
    }

    void connecting(String instance) {
        requireNotSent();
        state = State.CONNECTING;
        expectedInstance = instance;
    }

    void running(BackendConnection newConnection, long nowNs) {
        state = State.RUNNING;
        connection = newConnection;
        dispatchedNs = nowNs;
    }

    void queued() {
        state = State.QUEUED;
    }

    void refuse(Refusal refusal) {
        state = State.ENDED;
        listener.refused(refusal);
    }

    void fail(SendFailure failure) {
        state = State.ENDED;
        listener.failed(failure);
    }

    void ended() {
        state = State.ENDED;
    }

    void abortConnection() {
        connection.abort();
    }

    State state() {
        return state;
    }

    int status() {
        return status;
    }

    long dispatchedNs() {
        return dispatchedNs;
    }

    long arrivedNs() {
        return arrivedNs;
    }
}
