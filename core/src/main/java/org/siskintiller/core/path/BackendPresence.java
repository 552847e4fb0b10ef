package org.siskintiller.core.path;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * State of a backend server as its companion derives it from heartbeats. The companion stops sending requests before
 * the end of the drain time, for which the backend server continues to serve after its leave was acknowledged.
 */
public final class BackendPresence {
    /** Three heartbeat intervals of the deployments. A single late heartbeat is usual. */
    private static final long HEARTBEAT_TIMEOUT_NS = 2_700_000_000L;
    /** A backend server that was silent for two heartbeat intervals may have ended, so that a later run is expected. */
    private static final long RUN_MAY_HAVE_ENDED_NS = 2_000_000_000L;
    /** Share of the drain time in which requests are still sent, so that requests in transit arrive in time. */
    private static final double SERVING_SHARE_OF_DRAIN = 0.5;

    private final long drainNs;
    private Announcement current;
    /** Whether the present run has sent more than one heartbeat. */
    private boolean isConfirmed;
    /** First heartbeat of a later run that is not believed yet; null when there is none. */
    private Announcement unconfirmed;

    private long lastHeartbeatNs;
    private long leavingSinceNs;
    private boolean leaving;
    private BackendLeaves leaves = BackendLeaves.NONE;

    public BackendPresence(long drainMs) {
        this.drainNs = drainMs * 1_000_000;
    }

    /**
     * Applies a heartbeat. Returns false for one that is not newer than the last one, and for the first of a later run while
     * the present run still sends heartbeats: a single message does not end a run that shows no other sign of its end.
     */
    public boolean announced(Announcement next, long nowNs) {
        boolean isNewRun = current == null || next.run() > current.run();
        if (!isNewRun && !isNewerInRun(next)) {
            return false;
        }
        if (isNewRun && !mayStart(next, nowNs)) {
            unconfirmed = next;
            return false;
        }
        current = next;
        isConfirmed = !isNewRun;
        unconfirmed = null;
        lastHeartbeatNs = nowNs;
        if (isNewRun) {
            leaving = false;
        }
        if (next.draining()) {
            leaves = leaves.with(next.id(), next.run());
        }
        if (!leaving && leaves.covers(next.id(), next.run())) {
            // An earlier process of the companion may have acknowledged the leave of a run that is first seen leaving.
            leave(isNewRun ? nowNs - drainNs : nowNs);
        }
        return true;
    }

    private boolean isNewerInRun(Announcement next) {
        return next.run() == current.run() && next.id().equals(current.id()) && next.sequence() > current.sequence();
    }

    private boolean mayStart(Announcement next, long nowNs) {
        if (current == null || !isConfirmed || leaving || nowNs - lastHeartbeatNs >= RUN_MAY_HAVE_ENDED_NS) {
            return true;
        }
        return unconfirmed != null && unconfirmed.run() == next.run() && unconfirmed.sequence() < next.sequence();
    }

    /**
     * Applies the message that the backend server is leaving, which may arrive after a later run has started. Without a run, it
     * is for the present run; heartbeats of a server that is not known yet may arrive after it, so that all its runs until
     * now count as left.
     */
    public void left(String id, OptionalLong run, long nowNs, long timeOfDayMs) {
        boolean isCurrent = current != null && current.id().equals(id);
        long lastRun = run.orElse(isCurrent ? current.run() : timeOfDayMs);
        leaves = leaves.with(id, lastRun);
        if (isCurrent && !leaving && lastRun >= current.run()) {
            leave(nowNs);
        }
    }

    /** Applies leaves that an earlier process of this companion acknowledged. Their drain time counts as over. */
    public void leftEarlier(BackendLeaves earlier, long nowNs) {
        leaves = leaves.merge(earlier);
        if (current != null && !leaving && leaves.covers(current.id(), current.run())) {
            leave(nowNs - drainNs);
        }
    }

    /** Backend servers beside this companion that have left. */
    public BackendLeaves leaves() {
        return leaves;
    }

    public boolean known() {
        return current != null;
    }

    public Announcement current() {
        return Objects.requireNonNull(current, "no backend server has announced itself");
    }

    public boolean leaving() {
        return leaving;
    }

    /** Whether other companions should send requests for the backend server here. */
    public boolean isAvailable(long nowNs) {
        return current != null && !leaving && nowNs - lastHeartbeatNs < HEARTBEAT_TIMEOUT_NS;
    }

    /**
     * Whether a request may be sent to the backend server now. A backend server without heartbeats may still receive
     * requests: the network may have failed only in the direction to the companion.
     */
    public boolean accepts(long nowNs) {
        return current != null && (!leaving || nowNs - leavingSinceNs < drainNs * SERVING_SHARE_OF_DRAIN);
    }

    private void leave(long nowNs) {
        leaving = true;
        leavingSinceNs = nowNs;
    }

    /**
     * State that a backend server announces in a heartbeat.
     *
     * @param id name that the backend server compares on each request
     * @param run start time of its run
     * @param sequence increases within a run
     * @param slots maximum number of requests that it runs at once
     * @param coldMs time for which it remains slow after its start
     */
    public record Announcement(
            String id, long run, long sequence, String service, int slots, boolean draining, long coldMs) {
        public Announcement {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(service, "service");
            if (slots < 1) {
                throw new IllegalArgumentException("slots must be at least 1");
            }
        }
    }
}
