package org.siskintiller.measure.random;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.siskintiller.core.gate.Gate;
import org.siskintiller.core.gate.GateDecision;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord;

/** Stores of the second copies of one gate's request records: the standby and the requests stream of the log. */
final class SecondCopyStores {
    private static final long MS = 1_000_000;
    private static final long STORE_TIMEOUT_NS = 50 * MS;
    private static final long LOG_POLL_NS = 60 * MS;

    private final RandomRun run;
    private final CompanionProcess owner;
    private final Gate gate;
    private final Set<Long> unacknowledged = new HashSet<>();

    /** Creates the stores for the companion's current gate. */
    SecondCopyStores(RandomRun run, CompanionProcess owner) {
        this.run = run;
        this.owner = owner;
        this.gate = owner.gate();
    }

    void storeAtStandby(GateDecision.StoreAtStandby store) {
        unacknowledged.add(store.sequence());
        run.counters().add("records to standby");
        run.send(
                owner,
                store.standby(),
                new PeerMessage.ReplicateRecords(
                        owner.incarnation(), store.sequence(), store.reset(), store.records()));
        owner.submit(STORE_TIMEOUT_NS, () -> {
            if (owner.gate() == gate && unacknowledged.remove(store.sequence())) {
                run.counters().add("records not at standby");
                owner.onGateEvent(new GateEvent.RecordsNotStored(store.sequence()));
            }
        });
    }

    /** Processes an acknowledgement of the standby. */
    void onStored(long sequence) {
        if (unacknowledged.remove(sequence)) {
            owner.onGateEvent(new GateEvent.RecordsStored(sequence));
        }
    }

    void storeInLog(GateDecision.StoreInLog store) {
        run.counters().add("records to log");
        Runnable onUncertain = () -> submit(new GateEvent.RecordsNotStored(store.sequence()));
        if (owner.isCutFromLog()) {
            onUncertain.run();
            return;
        }
        run.log()
                .appendRequests(
                        store.records(), () -> submit(new GateEvent.RecordsStored(store.sequence())), onUncertain);
    }

    /** Reads the requests stream to its tail. Retries until the log responds. */
    void readRequests() {
        if (owner.gate() != gate) {
            return;
        }
        List<RequestRecord> records = owner.isCutFromLog() ? null : run.log().requestRecordsOrNull();
        if (records == null) {
            owner.submit(LOG_POLL_NS, this::readRequests);
            return;
        }
        owner.submit(3 * MS, () -> {
            if (owner.gate() == gate) {
                owner.onGateEvent(new GateEvent.RecordsReceived(false, records));
                owner.onGateEvent(new GateEvent.RequestsStreamRead());
            }
        });
    }

    private void submit(GateEvent event) {
        owner.submit(0, () -> {
            if (owner.gate() == gate) {
                owner.onGateEvent(event);
            }
        });
    }
}
