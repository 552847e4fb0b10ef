package org.siskintiller.router.control;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.siskintiller.core.lease.HeartbeatResponse;
import org.siskintiller.core.lease.KeyHolder;
import org.siskintiller.router.backend.BackendGate;

/**
 * Grants keys in the responses to heartbeats. A response without a change of keys is deferred, so that the next change
 * reaches the backend server at once and not with its next heartbeat.
 */
public final class HeartbeatDelivery implements GrantDelivery {
    /** Maximum time for which a heartbeat response is deferred. A backend server waits 1 s for it. */
    private static final long MAX_DEFERRAL_MS = 700;
    /** A response is deferred only while the grants last this long: the deferral and half a heartbeat interval. */
    private static final long MIN_GRANTS_LEFT_NS = 1_500_000_000L;

    private final EventLoop loop;
    private final BackendGate gate;
    private final KeyHolder holder;
    /** Deferred response to the latest heartbeat, sent early on a change of keys; null if there is none. */
    private Consumer<HeartbeatResponse> deferredResponse;

    public HeartbeatDelivery(EventLoop loop, BackendGate gate, KeyHolder holder) {
        this.loop = loop;
        this.gate = gate;
        this.holder = holder;
    }

    @Override
    public void heartbeatReceived() {
        sendDeferred(HeartbeatResponse.RENEWS_NOTHING);
    }

    @Override
    public void heartbeatAccepted(Consumer<HeartbeatResponse> response, boolean deferrable) {
        long nowNs = System.nanoTime();
        deferredResponse = response;
        boolean hasNoKeyChange = !holder.hasLease(nowNs) || holder.mayDeferResponse(MIN_GRANTS_LEFT_NS, nowNs);
        if (!deferrable || !hasNoKeyChange) {
            sendDeferred();
            return;
        }
        loop.schedule(() -> sendIfDeferred(response), MAX_DEFERRAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Sends the deferred heartbeat response if the granted keys have changed. */
    @Override
    public void holderChanged() {
        long nowNs = System.nanoTime();
        if (holder.hasLease(nowNs) && !holder.mayDeferResponse(0, nowNs)) {
            sendDeferred();
        }
    }

    @Override
    public void tick() {
        // Responses depend on heartbeats only.
    }

    @Override
    public void stop() {
        sendDeferred();
    }

    private void sendIfDeferred(Consumer<HeartbeatResponse> response) {
        if (deferredResponse == response) {
            sendDeferred();
        }
    }

    /** Sends the deferred response to the latest heartbeat, if there is one. */
    private void sendDeferred() {
        if (deferredResponse != null) {
            sendDeferred(holder.respond(System.nanoTime()));
            gate.keysChanged();
        }
    }

    private void sendDeferred(HeartbeatResponse content) {
        Consumer<HeartbeatResponse> response = deferredResponse;
        deferredResponse = null;
        if (response != null) {
            response.accept(content);
        }
    }
}
