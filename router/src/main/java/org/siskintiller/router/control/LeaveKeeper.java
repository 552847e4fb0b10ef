package org.siskintiller.router.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.core.path.BackendPresence;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.store.RecordStore;

/**
 * Keeps the leaves of the backend server beyond the end of this process: in the store, and at other companions while the
 * store does not respond. A leave is acknowledged only when it has a copy, because the acknowledgement binds later processes.
 */
final class LeaveKeeper {
    /** Time for the store to confirm a leave. After it, a copy at another companion suffices. */
    private static final long STORE_WAIT_MS = 300;
    /** Limit of the wait for any copy. A backend server waits 1 s for the response. */
    private static final long MAX_WAIT_MS = 900;

    /** Time for a companion to write its own lost leaves before another one does. */
    private static final long ADOPTION_DELAY_NS = 1_000_000_000L;

    private final String self;
    private final ControlState state;
    private final PeerDirectory peers;
    private final BackendGate gate;
    private final BackendPresence presence;
    private final EventLoop loop;
    private final RecordAppender appender;
    private final OwnRecord record;
    private final Set<Consumer<Boolean>> waiting = new LinkedHashSet<>();
    /** Whether the record of an earlier process has been read, so that an append does not lose its content. */
    private boolean mayAppend;
    /** Whether a restored store may lack leaves of instances whose companions are down. */
    private boolean mayBeLost;

    private long eraChangedNs;
    /** Leaves that were sent to the other companions. */
    private BackendLeaves shared = BackendLeaves.NONE;
    /** Leaves that another companion has confirmed. */
    private BackendLeaves copied = BackendLeaves.NONE;

    LeaveKeeper(
            String self,
            ControlState state,
            PeerDirectory peers,
            RecordAppender appender,
            LocalBackend backend,
            EventLoop loop) {
        this.self = self;
        this.state = state;
        this.peers = peers;
        this.gate = backend.gate();
        this.presence = backend.presence();
        this.loop = loop;
        this.appender = appender;
        this.record = new OwnRecord(ControlRecords.leavesKey(self), this::content, appender);
    }

    /** Passes on whether the leaves that are known now have a copy, as soon as they have one. */
    void keep(Consumer<Boolean> result) {
        BackendLeaves leaves = presence.leaves();
        if (!leaves.equals(shared)) {
            shared = leaves;
            peers.clients().forEach(peer -> peer.shareLeaves(self, leaves));
        }
        if (mayAppend) {
            record.appendIfNeeded(System.nanoTime(), this::stored);
        }
        if (record.isStored()) {
            result.accept(true);
            return;
        }
        waiting.add(result);
        loop.schedule(() -> endWait(result, false), STORE_WAIT_MS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> endWait(result, true), MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** Appends leaves that the store lacks. Only called when the record of an earlier process has been read. */
    void tick(long nowNs) {
        mayAppend = true;
        record.appendIfNeeded(nowNs, this::stored);
        if (mayBeLost && nowNs - eraChangedNs >= ADOPTION_DELAY_NS) {
            mayBeLost = false;
            adoptLost();
        }
    }

    /** Writes lost leaves of instances whose companions are not connected. The first companion by name does. */
    private void adoptLost() {
        boolean isFirst = peers.clients().stream()
                .filter(PeerClient::connected)
                .allMatch(peer -> self.compareTo(peer.instance()) < 0);
        if (!isFirst) {
            return;
        }
        state.lostLeaves().forEach((instance, leaves) -> {
            boolean isConnected =
                    peers.client(instance).filter(PeerClient::connected).isPresent();
            if (!isConnected && !instance.equals(self)) {
                byte[] value = ControlRecords.encode(instance, leaves);
                appender.append(ControlRecords.leavesKey(instance), value, RecordStore.ANY_END);
            }
        });
    }

    /** The leaves are written again if the store lacks them, also those of an earlier process. */
    void eraChanged() {
        mayBeLost = true;
        eraChangedNs = System.nanoTime();
        record.compareWith(state);
    }

    /** Applies a record of the control topic with leaves. */
    void recordRead(String instance) {
        if (instance.equals(self)) {
            record.compareWith(state);
            gate.processEarlierLeaves(state.leaves(self));
        }
    }

    /** Applies leaves that another companion sent. */
    void received(String instance, BackendLeaves leaves) {
        state.addLeaves(instance, leaves);
        if (instance.equals(self)) {
            gate.processEarlierLeaves(leaves);
        }
    }

    /** Another companion confirmed the leaves that were sent to it. */
    void copied(String instance, BackendLeaves leaves) {
        if (instance.equals(self)) {
            copied = copied.merge(leaves);
        }
    }

    /** Tells a companion that connects, and may have restarted, what the store may lack. */
    void companionConnected(PeerClient peer) {
        BackendLeaves leaves = state.leaves(peer.instance());
        if (!leaves.isEmpty()) {
            peer.shareLeaves(peer.instance(), leaves);
        }
    }

    private byte[] content() {
        BackendLeaves leaves = presence.leaves();
        return leaves.isEmpty() ? new byte[0] : ControlRecords.encode(self, leaves);
    }

    private void stored() {
        for (Consumer<Boolean> result : List.copyOf(waiting)) {
            waiting.remove(result);
            result.accept(true);
        }
    }

    private void endWait(Consumer<Boolean> result, boolean isLast) {
        boolean hasCopy = copied.merge(presence.leaves()).equals(copied);
        if ((hasCopy || isLast) && waiting.remove(result)) {
            EventLog.log(LogEvent.LEAVE_NOT_STORED, "instance", self, "copied", hasCopy);
            result.accept(hasCopy);
        }
    }
}
