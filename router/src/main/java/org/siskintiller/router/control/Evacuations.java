package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.siskintiller.core.evacuation.EvacuatedDomains;
import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.peer.PeerStatus;

/**
 * Follows the operator's evacuations, by the store and by other companions, and applies them to the gate of this
 * companion. The decision of this companion does not depend on whether others have received the record.
 */
public final class Evacuations {
    private final boolean enabled;
    private final String ownDomain;
    private final ControlState state;
    private final BackendGate gate;
    private final StoreSupply supply;
    /** Records of the present read. */
    private final List<Evacuation> read = new ArrayList<>();

    private Runnable knownListener = () -> {};
    private Runnable changeListener = () -> {};
    private Runnable storeListener = () -> {};
    private boolean known;
    /** Time of the last message that could have named an evacuation. */
    private long lastMessageNs = Long.MIN_VALUE / 2;

    /** Creates the state without evacuations. Where they are not enabled, their records are ignored. */
    public Evacuations(
            boolean enabled,
            String ownDomain,
            ControlState state,
            BackendGate gate,
            StoreSupply supply,
            MetricRegistry metrics) {
        this.enabled = enabled;
        this.ownDomain = ownDomain;
        this.state = state;
        this.gate = gate;
        this.supply = supply;
        metrics.gauge(
                "evacuation.domains",
                () -> () -> state.evacuatedDomains().active().size());
        metrics.gauge("evacuation.own_domain", () -> () -> isEvacuated(ownDomain) ? 1 : 0);
    }

    /**
     * Sets what runs when the evacuations are known for the first time, when the set of evacuated domains has changed, and
     * when this companion has read a change in the store, so that others may not know it.
     */
    void listen(Runnable onKnown, Runnable onChange, Runnable onChangeByStore) {
        knownListener = onKnown;
        changeListener = onChange;
        storeListener = onChangeByStore;
    }

    /** Whether the evacuations in force when this process started are known. Until then its gate stays closed. */
    boolean known() {
        return known || !enabled;
    }

    List<Evacuation> states() {
        return state.evacuatedDomains().states();
    }

    void recordRead(Evacuation evacuation) {
        if (enabled) {
            read.add(evacuation);
        }
    }

    /**
     * Applies the records of a completed read of the operator's topic.
     *
     * @param isFull whether it returned the newest records of all keys
     * @param endsAbsent whether an evacuation without a record has ended, which a restored store does not prove
     * @param end position by era and offset up to which the topic has been read
     */
    void readCompleted(boolean isFull, boolean endsAbsent, long end) {
        if (!enabled) {
            return;
        }
        EvacuatedDomains before = state.evacuatedDomains();
        EvacuatedDomains next =
                endsAbsent ? before.withFullRead(read, end) : before.with(read).readUpTo(end);
        read.clear();
        if (apply(next, "store")) {
            supply.passOnEvacuations(states());
            storeListener.run();
        }
        becomeKnown(isFull);
    }

    /** Applies what another companion knows. */
    void received(List<Evacuation> evacuations, String from) {
        if (enabled) {
            apply(state.evacuatedDomains().with(evacuations), from);
            becomeKnown(!evacuations.isEmpty());
        }
    }

    /** Applies a status. A companion that serves knows the evacuations, also if there are none. */
    void statusReceived(PeerStatus status, String from) {
        received(status.evacuations(), from);
        becomeKnown(status.serving());
    }

    private void becomeKnown(boolean isKnown) {
        lastMessageNs = System.nanoTime();
        if (isKnown && !known) {
            known = true;
            knownListener.run();
        }
    }

    private boolean apply(EvacuatedDomains next, String from) {
        EvacuatedDomains before = state.evacuatedDomains();
        state.setEvacuatedDomains(next);
        boolean changed = !next.active().equals(before.active());
        if (changed) {
            EventLog.log(
                    LogEvent.EVACUATIONS_CHANGED,
                    "domains",
                    String.join(",", next.active()),
                    "before",
                    String.join(",", before.active()),
                    "from",
                    from);
            // A companion that learns of it late has served for a time that it cannot know, since the last news.
            gate.setEvacuated(next.isEvacuated(ownDomain), lastMessageNs);
            changeListener.run();
        }
        return changed;
    }

    private boolean isEvacuated(String domain) {
        return state.evacuatedDomains().isEvacuated(domain);
    }
}
