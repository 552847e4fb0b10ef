package org.siskintiller.router.control;

import io.netty.channel.EventLoop;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.store.StoredRecord;

/** What companions found out about backend servers and later processes must know: leaves and suspicions. */
final class Findings {
    private final LeaveKeeper leaves;
    private final SuspicionKeeper suspicions;

    Findings(
            String self,
            ControlState state,
            PeerDirectory peers,
            RecordAppender appender,
            LocalBackend backend,
            EventLoop loop) {
        this.leaves = new LeaveKeeper(self, state, peers, appender, backend, loop);
        this.suspicions = new SuspicionKeeper(self, state, peers, appender, backend.crashes());
    }

    LeaveKeeper leaves() {
        return leaves;
    }

    SuspicionKeeper suspicions() {
        return suspicions;
    }

    /** Applies a record that the state has taken over. Other records are ignored. */
    void recordRead(StoredRecord record) {
        String key = record.key();
        if (key.startsWith(ControlRecords.LEAVES_PREFIX)) {
            leaves.recordRead(key.substring(ControlRecords.LEAVES_PREFIX.length()));
        } else if (key.startsWith(ControlRecords.LOSSES_PREFIX)) {
            suspicions.recordRead(key.substring(ControlRecords.LOSSES_PREFIX.length()), record.value());
        }
    }

    /** The store was restored from an older copy. */
    void eraChanged() {
        leaves.eraChanged();
        suspicions.eraChanged();
    }

    /** Tells a companion that connects, and may have restarted, what the store may lack. */
    void companionConnected(PeerClient peer) {
        leaves.companionConnected(peer);
        suspicions.companionConnected(peer);
    }

    /** Appends what the store lacks. Only called when the records of an earlier process have been read. */
    void tick(long nowNs) {
        leaves.tick(nowNs);
        suspicions.tick(nowNs);
    }
}
