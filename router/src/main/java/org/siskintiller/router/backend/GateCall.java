package org.siskintiller.router.backend;

import org.siskintiller.core.admission.QueuedRequest;
import org.siskintiller.core.retry.RejectedRequest;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.RefusalReason;
import org.siskintiller.router.request.ResponseHead;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.request.SentRequest;

/** Request that is queued for the backend server or is running there. */
final class GateCall extends QueuedRequest implements SentRequest, BackendExchange {
    private static final int MISDIRECTED = 421;

    /** Progress of the call. */
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
    /** Whether the backend server reported free slots with its response. */
    private boolean freeSlots;
    /** Call that continues the request in another rank; null while there is none. */
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

    /** A call that has no connection yet is not sent after its cancellation. */
    @Override
    public boolean mayHaveRun() {
        return replacement != null ? replacement.mayHaveRun() : state == State.RUNNING || state == State.ENDED;
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
            gate.responseCompleted(this);
        }
        listener.data(data, last);
    }

    @Override
    public void rejected(int rejectionStatus) {
        gate.rejected(this, rejectionStatus);
    }

    @Override
    public void connectionFailed(String detail) {
        gate.connectionFailed(this, detail);
    }

    @Override
    public void loadReported(int running, int waiting, int slots, int workPercent) {
        slotsReported(running < slots);
        gate.loadReported(running, slots, workPercent);
    }

    void slotsReported(boolean areFree) {
        freeSlots = areFree;
    }

    /** Continues the request in another rank. */
    GateCall moveTo(QueuePlace place, long sequence) {
        requireNotSent();
        replacement = new GateCall(gate, request, listener, place, sequence, arrivedNs);
        return replacement;
    }

    /** Prevents a request from being sent twice because it is both running and queued. */
    private void requireNotSent() {
        if (replacement != null || state != State.AWAITING_GRANT && state != State.QUEUED) {
            throw new IllegalStateException("request " + request.requestId() + " is " + state + " already");
        }
    }

    void markConnecting(String instance) {
        requireNotSent();
        state = State.CONNECTING;
        expectedInstance = instance;
    }

    void markRunning(BackendConnection newConnection, long nowNs) {
        state = State.RUNNING;
        connection = newConnection;
        dispatchedNs = nowNs;
    }

    void markQueued() {
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

    void markEnded() {
        state = State.ENDED;
    }

    void abortConnection() {
        connection.abort();
    }

    State state() {
        return state;
    }

    /** Refusal of a request that the backend server rejected. One that does not hold the key rejects the next one too. */
    Refusal rejection(int rejectionStatus) {
        boolean mayAcceptNext = freeSlots && rejectionStatus != MISDIRECTED;
        return new Refusal(RefusalReason.REJECTED, RejectedRequest.retryAfterMs(mayAcceptNext), true);
    }

    boolean hasFreeSlots() {
        return freeSlots;
    }

    /** Whether the backend server has begun its response. */
    boolean hasStarted() {
        return status != 0;
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
