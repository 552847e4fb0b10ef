package org.siskintiller.core.lease;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;

/**
 * Holder side of the key leases: passes grants on to the backend server of its own machine by answering heartbeats, and
 * releases ranges only when the backend server cannot hold them any more.
 */
public final class KeyHolder {
    private final long holdMaxMs;
    private List<KeyGrant> assigned = List.of();
    private List<KeyGrant> granted = List.of();
    private final List<Releasing> releasing = new ArrayList<>();
    private final List<HolderReport.Released> released = new ArrayList<>();
    private final List<BackendHeartbeat.Handover> handovers = new ArrayList<>();
    private boolean releaseAll;
    private long leaseUntilNs;
    private long run;
    private long sequence = Long.MIN_VALUE;
    private long beatNs;
    /** Ranges that the backend server said it holds. */
    private List<KeyRange> reportedHeld = List.of();
    /** Grants end on the backend server's side not before this time, however they were received. */
    private long grantsVoidNs;
    /** Grants are surely in force until this time. */
    private long grantsUntilNs;

    /**
     * Starts without knowledge of what an earlier process granted.
     *
     * @param holdMaxMs longest hold time that a backend server accepts
     */
    public KeyHolder(long holdMaxMs, long nowNs) {
        this.holdMaxMs = holdMaxMs;
        this.leaseUntilNs = nowNs - 1;
        this.grantsVoidNs = LeaseTiming.leaseOver(nowNs);
        this.grantsUntilNs = nowNs - 1;
    }

    /** Takes the grants of this instance in the newest table. */
    public void assign(List<KeyGrant> grants) {
        assigned = List.copyOf(grants);
        released.removeIf(done -> !isAssigned(done.range(), done.fence()));
        releasing.removeIf(each -> !isAssigned(each.range, each.fence));
        releaseOtherRuns();
        granted = withoutReleased(granted);
    }

    /** Extends the lease from the time at which the renewal was sent. */
    public void renewed(long sentNs, long leaseMs) {
        leaseUntilNs = Math.max(leaseUntilNs, sentNs + leaseMs * 1_000_000);
    }

    /**
     * Gives up the lease at once, for example after a pause of the process whose length is unknown. What was granted
     * stays: the backend server ends it by its own clock.
     */
    public void dropLease(long nowNs) {
        leaseUntilNs = nowNs - 1;
    }

    /** Asks for the release of ranges. The order takes effect with the next heartbeat. */
    public void release(List<KeyRange> ranges) {
        for (KeyRange range : ranges) {
            for (KeyGrant grant : assigned) {
                if (grant.range().overlaps(range)) {
                    addReleasing(grant.range().intersection(range), grant.fence());
                }
            }
        }
    }

    /** Releases everything from the next heartbeat on, because the backend server leaves. */
    public void releaseAll() {
        releaseAll = true;
    }

    /** Processes a heartbeat and returns what its answer grants. A heartbeat that arrives late grants nothing. */
    public HeartbeatResponse processHeartbeat(BackendHeartbeat beat, long nowNs) {
        return accept(beat, nowNs) ? respond(nowNs) : HeartbeatResponse.RENEWS_NOTHING;
    }

    /** Processes a heartbeat without answering it. Returns false for one that arrives late and must grant nothing. */
    public boolean accept(BackendHeartbeat beat, long nowNs) {
        if (beat.run() < run || beat.run() == run && beat.sequence() <= sequence) {
            return false;
        }
        if (beat.run() != run) {
            startRun(beat.run());
        }
        sequence = beat.sequence();
        beatNs = nowNs;
        reportedHeld = beat.held();
        handovers.addAll(beat.handovers());
        if (releaseAll) {
            for (KeyGrant grant : assigned) {
                addReleasing(grant.range(), grant.fence());
            }
        }
        completeReleases(beat);
        return true;
    }

    /**
     * Whether an answer would tell the backend server nothing but a later end of its hold, which lasts for the given
     * time anyway. Such an answer may wait, so that the next change of keys reaches the backend server at once.
     */
    public boolean mayDeferResponse(long lastsNs, long nowNs) {
        if (releaseAll || !releasing.isEmpty()) {
            return false;
        }
        List<KeyGrant> due = dueGrants();
        if (due.isEmpty()) {
            return reportedHeld.isEmpty();
        }
        boolean told = due.equals(granted)
                && due.stream().allMatch(grant -> reportedHeld.stream()
                        .anyMatch(held -> held.from() <= grant.range().from()
                                && grant.range().to() <= held.to()));
        return told && grantsUntilNs - nowNs > lastsNs;
    }

    /** Returns what an answer that is sent now grants to the backend server whose heartbeat came last. */
    public HeartbeatResponse respond(long nowNs) {
        double drift = 1 + LeaseTiming.BACKEND_CLOCK_DRIFT;
        long leftNs = leaseUntilNs - nowNs - LeaseTiming.MARGIN_NS;
        long holdMs = Math.min(holdMaxMs, (long) (leftNs / drift / 1_000_000));
        if (leftNs < LeaseTiming.LEAST_HOLD_NS) {
            return HeartbeatResponse.RENEWS_NOTHING;
        }
        for (Releasing each : releasing) {
            each.omitted = true;
        }
        granted = dueGrants();
        long holdNs = holdMs * 1_000_000;
        long voidNs = nowNs + Math.round(holdNs * drift) + LeaseTiming.MARGIN_NS;
        grantsVoidNs = grantsVoidNs == Long.MAX_VALUE ? voidNs : Math.max(grantsVoidNs, voidNs);
        // The backend server counts from the time at which it sent the heartbeat.
        grantsUntilNs = beatNs + holdNs - LeaseTiming.MARGIN_NS;
        return new HeartbeatResponse(granted, holdMs);
    }

    /** Grants of the current run, without what is being released. */
    private List<KeyGrant> dueGrants() {
        List<KeyGrant> grants = new ArrayList<>();
        for (KeyGrant grant : assigned) {
            if (grant.run() == run) {
                grants.add(grant);
            }
        }
        return withoutReleased(grants);
    }

    /** Reports ranges as released once a silent backend server cannot hold them any more. */
    public void tick(long nowNs) {
        if (grantsVoidNs == Long.MAX_VALUE && assigned.stream().anyMatch(this::isUnreleased)) {
            // Assigned to a backend server that fell silent in the same moment.
            grantsVoidNs = LeaseTiming.leaseOver(nowNs);
        }
        if (nowNs <= grantsVoidNs || nowNs <= grantsUntilNs) {
            return;
        }
        for (KeyGrant grant : assigned) {
            if (grant.run() <= run || run == 0) {
                addReleased(new HolderReport.Released(grant.range(), grant.fence(), ""));
            }
        }
        releasing.clear();
        granted = List.of();
        grantsVoidNs = Long.MAX_VALUE;
    }

    /** Whether requests for the key may be sent to the backend server. */
    public boolean serves(int key, long nowNs) {
        if (nowNs >= grantsUntilNs || nowNs >= leaseUntilNs) {
            return false;
        }
        for (KeyGrant grant : granted) {
            if (grant.range().contains(key)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the key is assigned here, though perhaps not granted yet. */
    public boolean isAssigned(int key) {
        for (KeyGrant grant : assigned) {
            if (grant.range().contains(key)) {
                return isFree(grant.range(), grant.fence(), key);
            }
        }
        return false;
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
        reportedHeld = List.of();
        releasing.clear();
        handovers.clear();
        releaseAll = false;
        sequence = Long.MIN_VALUE;
        grantsUntilNs = Long.MIN_VALUE / 2;
        releaseOtherRuns();
    }

    /** An earlier run is over when a later one exists, so it holds nothing. */
    private void releaseOtherRuns() {
        for (KeyGrant grant : assigned) {
            if (run != 0 && grant.run() < run) {
                addReleased(new HolderReport.Released(grant.range(), grant.fence(), ""));
            }
        }
    }

    private void completeReleases(BackendHeartbeat beat) {
        List<Releasing> done = new ArrayList<>();
        for (Releasing each : releasing) {
            boolean held = beat.held().stream().anyMatch(range -> range.overlaps(each.range));
            if (each.omitted && !held) {
                done.add(each);
            }
        }
        for (Releasing each : done) {
            releasing.remove(each);
            completeRelease(each);
        }
        handovers.removeIf(handover -> releasing.stream().noneMatch(each -> each.range.overlaps(handover.range())));
    }

    /** A release is reported by the parts for which the backend server gave tokens. */
    private void completeRelease(Releasing done) {
        int next = done.range.from();
        List<BackendHeartbeat.Handover> parts = new ArrayList<>();
        for (BackendHeartbeat.Handover handover : handovers) {
            if (handover.range().overlaps(done.range)) {
                parts.add(handover);
            }
        }
        parts.sort((a, b) -> Integer.compare(a.range().from(), b.range().from()));
        for (BackendHeartbeat.Handover part : parts) {
            KeyRange range = part.range().intersection(done.range);
            if (range.from() < next) {
                continue;
            }
            if (range.from() > next) {
                addReleased(new HolderReport.Released(new KeyRange(next, range.from() - 1), done.fence, ""));
            }
            addReleased(new HolderReport.Released(range, done.fence, part.token()));
            next = range.to() + 1;
        }
        if (next <= done.range.to()) {
            addReleased(new HolderReport.Released(new KeyRange(next, done.range.to()), done.fence, ""));
        }
    }

    private void addReleasing(KeyRange range, long fence) {
        boolean known = releasing.stream().anyMatch(each -> each.fence == fence && each.range.overlaps(range))
                || released.stream()
                        .anyMatch(each -> each.fence() == fence && each.range().overlaps(range));
        if (!known) {
            releasing.add(new Releasing(range, fence));
        }
    }

    private void addReleased(HolderReport.Released entry) {
        boolean known = released.stream()
                .anyMatch(each -> each.fence() == entry.fence() && each.range().overlaps(entry.range()));
        if (!known) {
            released.add(entry);
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

    private boolean isFree(KeyRange range, long fence, int key) {
        return releasing.stream().noneMatch(each -> each.fence == fence && each.range.contains(key))
                && released.stream()
                        .noneMatch(each -> each.fence() == fence && each.range().contains(key));
    }

    /** Cuts ranges that are being released or are released out of the grants. */
    private List<KeyGrant> withoutReleased(List<KeyGrant> grants) {
        List<KeyGrant> rest = new ArrayList<>();
        for (KeyGrant grant : grants) {
            List<KeyRange> cuts = new ArrayList<>();
            for (Releasing each : releasing) {
                if (each.fence == grant.fence()) {
                    cuts.add(each.range);
                }
            }
            for (HolderReport.Released each : released) {
                if (each.fence() == grant.fence()) {
                    cuts.add(each.range());
                }
            }
            rest.addAll(grant.without(cuts));
        }
        return rest;
    }

    private static final class Releasing {
        private final KeyRange range;
        private final long fence;
        /** Whether an answer has left the range out already. */
        private boolean omitted;

        private Releasing(KeyRange range, long fence) {
            this.range = range;
            this.fence = fence;
        }
    }
}
