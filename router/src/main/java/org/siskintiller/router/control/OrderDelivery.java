package org.siskintiller.router.control;

import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.siskintiller.core.lease.HeartbeatResponse;
import org.siskintiller.core.lease.KeyHolder;
import org.siskintiller.core.lease.KeyOrders;
import org.siskintiller.core.model.Address;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.backend.KeyOrderCodec;
import org.siskintiller.router.backend.KeyOrderSender;

/** Grants keys by orders to the backend server. */
public final class OrderDelivery implements GrantDelivery {
    private final KeyOrderSender sender;

    public OrderDelivery(
            Address backend,
            EventLoop loop,
            BackendGate gate,
            KeyHolder holder,
            KeyOrderCodec codec,
            MetricRegistry metrics) {
        KeyOrders orders = new KeyOrders(holder, System.nanoTime());
        this.sender = new KeyOrderSender(backend, loop, orders, codec, () -> orderEnded(gate), metrics);
    }

    @Override
    public void heartbeatReceived() {
        sender.heartbeatReceived();
    }

    @Override
    public void heartbeatAccepted(Consumer<HeartbeatResponse> response, boolean deferrable) {
        response.accept(HeartbeatResponse.RENEWS_NOTHING);
        sender.sendDue();
    }

    @Override
    public void holderChanged() {
        sender.sendDue();
    }

    @Override
    public void tick() {
        sender.sendDue();
    }

    @Override
    public void stop() {
        // The grants stay in force until the next process renews them or their hold time passes.
    }

    private void orderEnded(BackendGate gate) {
        gate.keysChanged();
        sender.sendDue();
    }
}
