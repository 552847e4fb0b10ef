package org.siskintiller.node.runtime;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.gate.GateDecision;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.model.PeerMessage;

/** Executes the decisions of the gate on slots, records and customers. */
final class GateDecisionExecutor implements GateDecisionHandler {
    /** A longer wait for the standby would use up the deadline; after it, the log keeps the second copy. */
    private static final long STANDBY_TIMEOUT_MS = 50;

    private final Generation generation;
    private final PeerSender peers;
    private final GenerationListener listener;
    private final Set<Long> unacknowledged = ConcurrentHashMap.newKeySet();

    GateDecisionExecutor(Generation generation, PeerSender peers, GenerationListener listener) {
        this.generation = generation;
        this.peers = peers;
        this.listener = listener;
    }

    @Override
    public void handle(GateDecision decision) {
        if (decision instanceof GateDecision.StoreAtStandby store) {
            storeAtStandby(store);
        } else if (decision instanceof GateDecision.StoreInLog store) {
            generation.requests().store(store);
        } else if (decision instanceof GateDecision.RequestRecordsInLog) {
            generation.control().submit(new ControlEvent.RecordsInLogRequested());
        } else if (decision instanceof GateDecision.ReadRequestsStream) {
            generation.requests().readToTail();
        } else if (decision instanceof GateDecision.SlotsQuiesced quiesced) {
            generation.onSlotsQuiesced(quiesced);
        } else if (decision instanceof GateDecision.CustomerQuiesced quiesced) {
            generation
                    .control()
                    .submit(new ControlEvent.CustomerQuiesced(quiesced.customer(), quiesced.removalOffset()));
        } else if (decision instanceof GateDecision.Drained) {
            listener.onDrained(generation);
        } else if (decision instanceof GateDecision.BackendServerChanged changed) {
            generation.control().submit(new ControlEvent.BackendServerChanged(changed.serving()));
            listener.onBackendChanged(changed.serving(), changed.reason());
        }
    }

    private void storeAtStandby(GateDecision.StoreAtStandby store) {
        unacknowledged.add(store.sequence());
        peers.send(
                generation.control().state(),
                store.standby(),
                new PeerMessage.ReplicateRecords(
                        generation.incarnation(), store.sequence(), store.reset(), store.records()));
        generation.runAfter(STANDBY_TIMEOUT_MS, () -> {
            if (unacknowledged.remove(store.sequence())) {
                generation.gate().submit(new GateEvent.RecordsNotStored(store.sequence()));
            }
        });
    }

    /** The standby has stored the records with this sequence number. Earlier messages may have been lost. */
    void replicated(long sequence) {
        unacknowledged.remove(sequence);
        generation.gate().submit(new GateEvent.RecordsStored(sequence));
    }
}
