package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.quarantine.RecordedLoss;
import org.siskintiller.router.backend.CrashDetector;
import org.siskintiller.router.peer.PeerClient;

/**
 * Shares suspicions of requests that crash backend servers: at once with the connected companions, and in the store with
 * processes that start later. Each companion records the losses that it found itself and that no response has cleared.
 */
final class SuspicionKeeper {
    /** Interval at which the record is adapted to cleared losses, and to those that no companion has recorded. */
    private static final long ADAPT_INTERVAL_NS = TimeUnit.SECONDS.toNanos(3);

    private final String self;
    private final ControlState state;
    private final PeerDirectory peers;
    private final CrashDetector crashes;
    private final OwnRecord record;
    /** Whether the record of an earlier process has been read, so that an append does not lose its content. */
    private boolean mayAppend;
    /** Whether the store may lack a loss. */
    private boolean hasNewLosses;

    private long lastAdaptNs = System.nanoTime();

    SuspicionKeeper(
            String self, ControlState state, PeerDirectory peers, RecordAppender appender, CrashDetector crashes) {
        this.self = self;
        this.state = state;
        this.peers = peers;
        this.crashes = crashes;
        this.record = new OwnRecord(ControlRecords.lossesKey(self), this::content, appender);
        crashes.onSuspicion(this::changed);
    }

    /** Appends new losses at once. Later takes those out of the record that were cleared. */
    void tick(long nowNs) {
        mayAppend = true;
        if (nowNs - lastAdaptNs >= ADAPT_INTERVAL_NS) {
            lastAdaptNs = nowNs;
            adoptUnrecorded();
            hasNewLosses = true;
        }
        if (!hasNewLosses) {
            return;
        }
        hasNewLosses = !record.isStored();
        record.appendIfNeeded(nowNs, () -> {});
    }

    /** The losses are written again if the store lacks them. */
    void eraChanged() {
        record.compareWith(state);
        hasNewLosses = true;
    }

    /** Applies a record of the control topic with losses. */
    void recordRead(String instance, byte[] value) {
        boolean isOwn = instance.equals(self);
        if (isOwn) {
            record.read(value);
        }
        // Until this process appends, its own record is that of an earlier one.
        crashes.lossesRead(state.losses(instance), isOwn && !mayAppend, System.currentTimeMillis());
    }

    void received(List<Suspicion> suspicions) {
        crashes.suspicionsReceived(suspicions);
    }

    /** Tells a companion that connects the losses that are in no record yet. */
    void companionConnected(PeerClient peer) {
        unrecorded().forEach(peer::shareSuspicion);
    }

    /**
     * Records losses whose finder did not, since it ended while the store was away. The first companion by name does, so that
     * usually only one of them appends.
     */
    private void adoptUnrecorded() {
        boolean isFirst = peers.clients().stream()
                .filter(PeerClient::connected)
                .allMatch(peer -> self.compareTo(peer.instance()) < 0);
        if (isFirst) {
            unrecorded().forEach(suspicion -> crashes.adopt(suspicion, System.currentTimeMillis()));
        }
    }

    /** Losses that are in no record. */
    private List<Suspicion> unrecorded() {
        List<Suspicion> unrecorded = new ArrayList<>();
        for (Suspicion suspicion : crashes.suspicions()) {
            Set<Incarnation> lostAt = new HashSet<>(suspicion.lostAt());
            lostAt.removeAll(state.recordedLosses(suspicion.fingerprint()));
            if (!lostAt.isEmpty()) {
                unrecorded.add(new Suspicion(suspicion.fingerprint(), lostAt));
            }
        }
        return unrecorded;
    }

    private void changed(List<Suspicion> suspicions) {
        for (PeerClient peer : peers.clients()) {
            suspicions.forEach(peer::shareSuspicion);
        }
        if (suspicions.stream().anyMatch(suspicion -> !suspicion.lostAt().isEmpty())) {
            hasNewLosses = true;
            if (mayAppend) {
                tick(System.nanoTime());
            }
        }
    }

    private byte[] content() {
        List<RecordedLoss> losses = crashes.ownLosses(System.currentTimeMillis());
        return losses.isEmpty() ? new byte[0] : ControlRecords.encode(self, losses);
    }
}
