package org.siskintiller.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;

/** State that the parts of one control plane share: the replayed state, the time of the event and the actions. */
public final class ControlContext {
    private final Session self;
    private final Deque<PeerMessage> localMessages = new ArrayDeque<>();
    private List<ControlAction> actions = new ArrayList<>();
    private ClusterState state = ClusterState.EMPTY;
    private long nowNs = Long.MIN_VALUE;

    public ControlContext(Session self) {
        this.self = self;
    }

    /** Incarnation of this companion run. */
    public Incarnation self() {
        return self.incarnation();
    }

    /** Session as passed to the constructor, without witnesses. */
    public Session ownSession() {
        return self;
    }

    public ClusterState state() {
        return state;
    }

    public long nowNs() {
        return nowNs;
    }

    /** Sets the time of the event. When the clock steps back, the time stays at its latest value. */
    public void advanceTo(long newNowNs) {
        nowNs = Math.max(nowNs, newNowNs);
    }

    public void replaceState(ClusterState next) {
        Invariant.CONFIG_NEVER_REVERTS.check(
                next.configVersion() >= state.configVersion(),
                "configuration would fall from version " + state.configVersion() + " to " + next.configVersion());
        Invariant.ASSIGNMENT_DURABLE.check(
                next.appliedOffset() >= state.appliedOffset(),
                "applied offset would fall from " + state.appliedOffset() + " to " + next.appliedOffset());
        state = next;
    }

    public void emit(ControlAction action) {
        actions.add(action);
    }

    public void report(ControlNotice notice, String detail) {
        actions.add(new ControlAction.Report(notice, detail));
    }

    /** Sends a message to a companion. A message to this companion itself is handled before the current event ends. */
    public void send(Incarnation to, PeerMessage message) {
        if (to.equals(self.incarnation())) {
            localMessages.add(message);
        } else {
            actions.add(new ControlAction.Send(to, message));
        }
    }

    /** Removes and returns the next message that this companion sent to itself, or null. */
    PeerMessage pollLocal() {
        return localMessages.poll();
    }

    List<ControlAction> takeActions() {
        List<ControlAction> taken = actions;
        actions = new ArrayList<>();
        return List.copyOf(taken);
    }
}
