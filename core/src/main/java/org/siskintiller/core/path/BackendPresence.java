package org.siskintiller.core.path;

import java.util.Objects;

/**
 * What a companion believes of its backend server from heartbeats. The companion stops sending before the time that the
 * backend server promises to serve on after its leave was acknowledged.
 */
public final class BackendPresence {
    /** Three heartbeat intervals of the deployments; a single late heartbeat is usual. */
    private static final long SILENCE_NS = 2_700_000_000L;
    /** Part of the drain time in which requests are still sent, so that those on their way arrive in time. */
    private static final double SERVING_SHARE_OF_DRAIN = 0.5;

    private final long drainNs;
    private Announcement current;
    private long heardNs;
    private long leavingSinceNs;
    private boolean leaving;

    public BackendPresence(long drainMs) {
        this.drainNs = drainMs * 1_000_000;
    }

    /** Takes a heartbeat. Returns false for one that is older than what is known. */
    public boolean announced(Announcement next, long nowNs) {
        if (current != null) {
            boolean earlierRun = next.run() < current.run();
            boolean repeated = next.run() == current.run() && next.sequence() <= current.sequence();
            if (earlierRun || repeated) {
                return false;
            }
        }
        boolean newRun = current == null || next.run() != current.run();
        current = next;
        heardNs = nowNs;
        if (newRun) {
            leaving = false;
        }
        if (next.draining() && !leaving) {
            // An earlier process may have acknowledged the leave of a run that is first heard of while it drains.
            leave(newRun ? nowNs - drainNs : nowNs);
        }
        return true;
    }

    /** Takes the message that the backend server leaves. */
    public void left(String id, long nowNs) {
        if (current != null && current.id().equals(id) && !leaving) {
            leave(nowNs);
        }
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

    /** Whether other companions should send requests here. */
    public boolean isAvailable(long nowNs) {
        return current != null && !leaving && nowNs - heardNs < SILENCE_NS;
    }

    /**
     * Whether a request may be sent to the backend server now. A silent one may still be reached by requests: only
     * its way to the companion can be cut.
     */
    public boolean accepts(long nowNs) {
        return current != null && (!leaving || nowNs - leavingSinceNs < drainNs * SERVING_SHARE_OF_DRAIN);
    }

    private void leave(long nowNs) {
        leaving = true;
        leavingSinceNs = nowNs;
    }

    /**
     * Heartbeat of a backend server.
     *
     * @param id name that the backend server checks on each request
     * @param run start time of its run
     * @param sequence increases within a run
     * @param slots requests that it runs at once
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
