package org.siskintiller.node.runtime;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.node.backend.SlotGrants;

/**
 * Opens and closes slots at the backend server and the gate. A single thread executes the steps in order, since a slot may
 * be opened at the gate only after the backend server has accepted its grant.
 */
final class SlotGate implements AutoCloseable {
    private final GateDriver gate;
    private final SlotGrants grants;
    private final Supplier<ClusterState> clusterState;
    private final ExecutorService thread = Threads.single("slots");
    private final Map<Integer, Fence> open = new ConcurrentHashMap<>();

    SlotGate(GateDriver gate, SlotGrants grants, Supplier<ClusterState> clusterState) {
        this.gate = gate;
        this.grants = grants;
        this.clusterState = clusterState;
    }

    void open(ControlAction.OpenSlots action) {
        execute(() -> {
            if (checksFence(action.service())) {
                try {
                    grants.grant(action.slots());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            action.slots().forEach(slot -> open.put(slot.slot(), slot.fence()));
            gate.submit(new GateEvent.SlotsOpened(
                    action.service(),
                    action.slots(),
                    action.standby(),
                    action.recordsComplete(),
                    action.readRequestsStream()));
        });
    }

    void close(ControlAction.CloseSlots action) {
        execute(() -> gate.submit(new GateEvent.SlotsClosing(action.service(), action.slots())));
    }

    /** Revokes the grants of slots that the gate has quiesced. */
    void onQuiesced(Collection<Integer> slots) {
        execute(() -> {
            slots.forEach(open::remove);
            grants.revoke(slots);
        });
    }

    /** Returns the open slots with their fences. */
    Map<Integer, Fence> openSlots() {
        return Map.copyOf(open);
    }

    private boolean checksFence(String service) {
        return clusterState
                .get()
                .config()
                .service(service)
                .map(ServiceConfig::checksFence)
                .orElse(true);
    }

    private void execute(Runnable task) {
        try {
            thread.execute(Threads.guarded(task));
        } catch (RejectedExecutionException e) {
            // The generation has ended: it no longer holds its lease, and the gate refuses all requests.
            return;
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
