package org.siskintiller.core.lease;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;

/**
 * Holder side of the key leases: decides which grants the backend server of its own machine may have, and releases ranges
 * only when the backend server can no longer hold them. The backend server learns of its grants in the responses to its
 * heartbeats, or by orders, see {@link KeyOrders}.
 */
public final class KeyHolder {
    private final long holdMaxMs;
    private List<KeyGrant> assigned = List.of();
    private List<KeyGrant> granted = List.of();
    private final List<PendingRelease> pendingReleases = new ArrayList<>();
    private final List<HolderReport.Released> released = new ArrayList<>();
    private final List<BackendHeartbeat.Handover> handovers = new ArrayList<>();
    private boolean releaseAll;
    private long leaseUntilNs;
    private long run;
    private long sequence = Long.MIN_VALUE;
    private long lastHeartbeatNs;
    /** Ranges that the backend server reported as held in its last heartbeat. */
    private List<KeyRange> heldRanges = List.of();
    /** Time after which the backend server can hold no grant, {@code Long.MAX_VALUE} when nothing is granted. */
    private long backendHoldEndNs;
    /** Time until which the grants are certainly in force at the backend server. */
    private long grantsInForceUntilNs;
    /** Grants that the backend server certainly has. */
    private GrantsInForce grantsInForce = this::isGrantedByHeartbeat;

    /**
     * Creates a holder that has no record of what an earlier process granted.
     *
     * @param holdMaxMs maximum hold time that a backend server accepts
     */
    public KeyHolder(long holdMaxMs, long nowNs) {
        this.holdMaxMs = holdMaxMs;
        this.leaseUntilNs = nowNs - 1;
        this.backendHoldEndNs = LeaseTiming.leaseEnd(nowNs);
        this.grantsInForceUntilNs = nowNs - 1;
    }

    /** Applies the grants of this instance in the newest table. */
    public void assign(List<KeyGrant> grants) {
        assigned = List.copyOf(grants);
        released.removeIf(entry -> !isAssigned(entry.range(), entry.fence()));
        pendingReleases.removeIf(entry -> !isAssigned(entry.range, entry.fence));
        releaseEarlierRuns();
        granted = withoutReleased(granted);
    }

    /** Extends the lease from the time at which the renewal was sent. */
    public void renewed(long sentNs, long leaseMs) {
        leaseUntilNs = Math.max(leaseUntilNs, sentNs + leaseMs * 1_000_000);
    }

    /**
     * Relinquishes the lease at once, for example after a pause of the process whose length is unknown. The grants stay
     * in force: the backend server ends them by its own clock.
     */
    public void dropLease(long nowNs) {
        leaseUntilNs = nowNs - 1;
    }

    /** Starts the release of ranges. The response to the next heartbeat omits them. */
    public void release(List<KeyRange> ranges) {
        for (KeyRange range : ranges) {
            for (KeyGrant grant : assigned) {
                if (grant.range().overlaps(range)) {
                    addPendingRelease(grant, grant.range().intersection(range));
                }
            }
        }
    }

    /** Starts the release of all ranges, also of those assigned later, because the backend server is leaving. */
    public void releaseAll() {
        releaseAll = true;
        releaseAssigned();
    }

    private void releaseAssigned() {
        for (KeyGrant grant : assigned) {
            addPendingRelease(grant, grant.range());
        }
    }

    /** Processes a heartbeat and returns its response. A heartbeat that arrives out of order is granted nothing. */
    public HeartbeatResponse processHeartbeat(BackendHeartbeat heartbeat, long nowNs) {
        return accept(heartbeat, nowNs) ? respond(nowNs) : HeartbeatResponse.RENEWS_NOTHING;
    }

    /** Processes a heartbeat without a response. Returns false for one out of order, which must be granted nothing. */
    public boolean accept(BackendHeartbeat heartbeat, long nowNs) {
        if (heartbeat.run() < run || heartbeat.run() == run && heartbeat.sequence() <= sequence) {
            return false;
        }
        if (heartbeat.run() != run) {
            startRun(heartbeat.run());
        }
        sequence = heartbeat.sequence();
        lastHeartbeatNs = nowNs;
        if (heartbeat.listsHeld()) {
            heldRanges = heartbeat.held();
        }
        handovers.addAll(heartbeat.handovers());
        if (releaseAll) {
            releaseAssigned();
        }
        if (heartbeat.listsHeld()) {
            completeReleases(heartbeat);
        }
        return true;
    }

    /**
     * Whether a response would only extend the hold of the backend server, which lasts longer than the given time
     * without it. Such a response may be deferred, so that the next change of keys reaches the backend server at once.
     */
    public boolean mayDeferResponse(long minRemainingHoldNs, long nowNs) {
        if (releaseAll || !pendingReleases.isEmpty()) {
            return false;
        }
        List<KeyGrant> current = currentGrants();
        if (current.isEmpty()) {
            return heldRanges.isEmpty();
        }
        boolean confirmed = current.equals(granted)
                && current.stream().allMatch(grant -> heldRanges.stream()
                        .anyMatch(held -> held.from() <= grant.range().from()
                                && grant.range().to() <= held.to()));
        return confirmed && grantsInForceUntilNs - nowNs > minRemainingHoldNs;
    }

    /** Returns the response to the last heartbeat, which must be sent now. */
    public HeartbeatResponse respond(long nowNs) {
        long holdMs = holdMs(nowNs);
        if (holdMs == 0) {
            return HeartbeatResponse.RENEWS_NOTHING;
        }
        for (PendingRelease entry : pendingReleases) {
            entry.omitted = true;
        }
        granted = currentGrants();
        holdPossibleUntil(holdEndNs(holdMs, nowNs));
        // The backend server counts the hold time from the sending of its heartbeat.
        grantsInForceUntilNs = lastHeartbeatNs + holdMs * 1_000_000 - LeaseTiming.MARGIN_NS;
        return new HeartbeatResponse(granted, holdMs);
    }

    /** Uses other grants in force than those of the heartbeat responses. */
    void setGrantsInForce(GrantsInForce source) {
        grantsInForce = source;
    }

    /** Returns the hold time in ms of a grant that the backend server receives now, 0 when the lease is too short. */
    long holdMs(long nowNs) {
        long remainingLeaseNs = leaseUntilNs - nowNs - LeaseTiming.MARGIN_NS;
        if (remainingLeaseNs < LeaseTiming.MIN_HOLD_NS) {
            return 0;
        }
        return Math.min(holdMaxMs, (long) (remainingLeaseNs / (1 + LeaseTiming.BACKEND_CLOCK_DRIFT) / 1_000_000));
    }

    /** Returns the time after which a hold that begins now has ended by any clock of a backend server. */
    static long holdEndNs(long holdMs, long nowNs) {
        double driftFactor = 1 + LeaseTiming.BACKEND_CLOCK_DRIFT;
        return nowNs + Math.round(holdMs * 1_000_000 * driftFactor) + LeaseTiming.MARGIN_NS;
    }

    /** Records that the backend server may hold a grant until the given time. */
    void holdPossibleUntil(long holdEndNs) {
        backendHoldEndNs = backendHoldEndNs == Long.MAX_VALUE ? holdEndNs : Math.max(backendHoldEndNs, holdEndNs);
    }

    /** Time of the last heartbeat that was accepted. */
    long lastHeartbeatNs() {
        return lastHeartbeatNs;
    }

    /** Returns the ranges that the backend server must release. */
    List<KeyOrder.Release> openReleases() {
        List<KeyOrder.Release> open = new ArrayList<>();
        pendingReleases.forEach(entry -> open.add(new KeyOrder.Release(entry.range, entry.fence)));
        return open;
    }

    /** Ends a release after which the backend server can no longer hold the range. */
    void releaseEnded(KeyOrder.Release release, String handover) {
        boolean wasOpen = pendingReleases.removeIf(
                entry -> entry.fence == release.fence() && entry.range.equals(release.range()));
        if (wasOpen) {
            addReleased(new HolderReport.Released(release.range(), release.fence(), handover));
        }
    }

    /** Grants of the current run without the ranges that are released or being released. */
    List<KeyGrant> currentGrants() {
        List<KeyGrant> grants = new ArrayList<>();
        for (KeyGrant grant : assigned) {
            if (grant.run() == run) {
                grants.add(grant);
            }
        }
        return withoutReleased(grants);
    }

    /** Reports ranges as released once a backend server that sends no heartbeats can no longer hold them. */
    public void tick(long nowNs) {
        if (backendHoldEndNs == Long.MAX_VALUE && assigned.stream().anyMatch(this::isUnreleased)) {
            // The ranges were assigned when the backend server had just stopped sending heartbeats.
            backendHoldEndNs = LeaseTiming.leaseEnd(nowNs);
        }
        if (nowNs <= backendHoldEndNs || nowNs <= grantsInForceUntilNs) {
            return;
        }
        for (KeyGrant grant : assigned) {
            if (grant.run() <= run || run == 0) {
                addReleased(new HolderReport.Released(grant.range(), grant.fence(), ""));
            }
        }
        pendingReleases.clear();
        granted = List.of();
        backendHoldEndNs = Long.MAX_VALUE;
    }

    /** Whether requests for the key may be sent to the backend server. */
    public boolean serves(int key, long nowNs) {
        return nowNs < leaseUntilNs && grantsInForce.covers(key, nowNs);
    }

    private boolean isGrantedByHeartbeat(int key, long nowNs) {
        if (nowNs >= grantsInForceUntilNs) {
            return false;
        }
        for (KeyGrant grant : granted) {
            if (grant.range().contains(key)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the key is assigned to this instance, even if it is not granted to the backend server yet. */
    public boolean isAssigned(int key) {
        for (KeyGrant grant : assigned) {
            if (grant.range().contains(key)) {
                return isKept(grant.range(), grant.fence(), key);
            }
        }
        return false;
    }

    /** Returns the fence of the grant of a key that the present run keeps, 0 if there is none. */
    long currentFence(int key) {
        for (KeyGrant grant : assigned) {
            if (grant.range().contains(key)) {
                return grant.run() == run && isKept(grant.range(), grant.fence(), key) ? grant.fence() : 0;
            }
        }
        return 0;
    }

    public List<HolderReport.Released> released() {
        return List.copyOf(released);
    }

    public long run() {
        return run;
    }

    public boolean hasLease(long nowNs) {
        return nowNs < leaseUntilNs;
    }

    private void startRun(long newRun) {
        run = newRun;
        granted = List.of();
        heldRanges = List.of();
        pendingReleases.clear();
        handovers.clear();
        releaseAll = false;
        sequence = Long.MIN_VALUE;
        grantsInForceUntilNs = Long.MIN_VALUE / 2;
        releaseEarlierRuns();
    }

    /** Releases the ranges of earlier runs, which have ended and hold nothing. */
    private void releaseEarlierRuns() {
        for (KeyGrant grant : assigned) {
            if (run != 0 && grant.run() < run) {
                addReleased(new HolderReport.Released(grant.range(), grant.fence(), ""));
            }
        }
    }

    private void completeReleases(BackendHeartbeat heartbeat) {
        List<PendingRelease> completed = new ArrayList<>();
        for (PendingRelease entry : pendingReleases) {
            boolean held = heartbeat.held().stream().anyMatch(range -> range.overlaps(entry.range));
            if (entry.omitted && !held) {
                completed.add(entry);
            }
        }
        for (PendingRelease entry : completed) {
            pendingReleases.remove(entry);
            completeRelease(entry);
        }
        handovers.removeIf(
                handover -> pendingReleases.stream().noneMatch(entry -> entry.range.overlaps(handover.range())));
    }

    /** Reports a release in the parts for which the backend server sent tokens. */
    private void completeRelease(PendingRelease release) {
        int next = release.range.from();
        List<BackendHeartbeat.Handover> parts = new ArrayList<>();
        for (BackendHeartbeat.Handover handover : handovers) {
            if (handover.range().overlaps(release.range)) {
                parts.add(handover);
            }
        }
        parts.sort((a, b) -> Integer.compare(a.range().from(), b.range().from()));
        for (BackendHeartbeat.Handover part : parts) {
            KeyRange range = part.range().intersection(release.range);
            if (range.from() < next) {
                continue;
            }
            if (range.from() > next) {
                addReleased(new HolderReport.Released(new KeyRange(next, range.from() - 1), release.fence, ""));
            }
            addReleased(new HolderReport.Released(range, release.fence, part.token()));
            next = range.to() + 1;
        }
        if (next <= release.range.to()) {
            addReleased(new HolderReport.Released(new KeyRange(next, release.range.to()), release.fence, ""));
        }
    }

    /** Adds the parts of the range that are not released or being released: others may have been cut differently. */
    private void addPendingRelease(KeyGrant grant, KeyRange range) {
        List<KeyRange> known = new ArrayList<>();
        pendingReleases.stream().filter(entry -> entry.fence == grant.fence()).forEach(entry -> known.add(entry.range));
        released.stream().filter(entry -> entry.fence() == grant.fence()).forEach(entry -> known.add(entry.range()));
        KeyGrant part = new KeyGrant(range, grant.holder(), grant.run(), grant.fence(), "");
        for (KeyGrant rest : part.without(known)) {
            pendingReleases.add(new PendingRelease(rest.range(), rest.fence()));
        }
    }

    private void addReleased(HolderReport.Released added) {
        boolean isKnown = released.stream()
                .anyMatch(
                        entry -> entry.fence() == added.fence() && entry.range().overlaps(added.range()));
        if (!isKnown) {
            released.add(added);
        }
    }

    private boolean isUnreleased(KeyGrant grant) {
        return !withoutReleased(List.of(grant)).isEmpty();
    }

    private boolean isAssigned(KeyRange range, long fence) {
        for (KeyGrant grant : assigned) {
            if (grant.fence() == fence && grant.range().overlaps(range)) {
                return true;
            }
        }
        return false;
    }

    private boolean isKept(KeyRange range, long fence, int key) {
        return pendingReleases.stream().noneMatch(entry -> entry.fence == fence && entry.range.contains(key))
                && released.stream()
                        .noneMatch(
                                entry -> entry.fence() == fence && entry.range().contains(key));
    }

    /** Cuts ranges that are being released or are released out of the grants. */
    private List<KeyGrant> withoutReleased(List<KeyGrant> grants) {
        List<KeyGrant> rest = new ArrayList<>();
        for (KeyGrant grant : grants) {
            List<KeyRange> cuts = new ArrayList<>();
            for (PendingRelease entry : pendingReleases) {
                if (entry.fence == grant.fence()) {
                    cuts.add(entry.range);
                }
            }
            for (HolderReport.Released entry : released) {
                if (entry.fence() == grant.fence()) {
                    cuts.add(entry.range());
                }
            }
            rest.addAll(grant.without(cuts));
        }
        return rest;
    }

    /** Grants that the backend server certainly has. */
    interface GrantsInForce {
        boolean covers(int key, long nowNs);
    }

    private static final class PendingRelease {
        private final KeyRange range;
        private final long fence;
        /** Whether a response has omitted the range already. */
        private boolean omitted;

        private PendingRelease(KeyRange range, long fence) {
            this.range = range;
            this.fence = fence;
        }
    }
}
