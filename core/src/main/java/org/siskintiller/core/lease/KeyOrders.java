package org.siskintiller.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;

/**
 * Tells a backend server its grants by orders. A grant without a response may take effect until its hold time has passed,
 * also after a later release, so a range counts as released only when no such grant can still take effect.
 */
public final class KeyOrders {
    /** Interval of renewals: two of three may be lost before a hold of 3.4 s ends. */
    private static final long RENEWAL_INTERVAL_NS = 1_000_000_000L;
    /** Delay before an order that had no effect is sent again. */
    private static final long RETRY_DELAY_NS = 100_000_000L;
    /** Delay after a refusal: a higher fence was seen, so that a newer table must be on its way. */
    private static final long REFUSED_DELAY_NS = 500_000_000L;
    /** No order is sent to a backend server that was silent for two heartbeat intervals: it may have ended. */
    private static final long MAX_SILENCE_NS = 2_000_000_000L;

    private final KeyHolder holder;
    /** Until this time a grant of an earlier process may take effect. */
    private final long earlierGrantsEndNs;

    private final Map<KeyOrder, OrderState> states = new HashMap<>();
    private final List<SentGrant> sentGrants = new ArrayList<>();
    private final Map<KeyOrder.Release, String> confirmedReleases = new HashMap<>();
    private long run;

    public KeyOrders(KeyHolder holder, long nowNs) {
        this.holder = holder;
        this.earlierGrantsEndNs = LeaseTiming.leaseEnd(nowNs);
        holder.setGrantsInForce(this::covers);
    }

    /** Returns the orders that should be sent now. Each one must be begun, and then ended by one of its outcomes. */
    public List<KeyOrder> due(long nowNs) {
        if (holder.run() != run) {
            run = holder.run();
            states.clear();
            sentGrants.clear();
            confirmedReleases.clear();
        }
        sentGrants.removeIf(sent -> sent.holdEndNs < nowNs);
        endReleases(nowNs);
        List<KeyOrder> due = new ArrayList<>();
        if (run == 0 || nowNs - holder.lastHeartbeatNs() > MAX_SILENCE_NS) {
            return due;
        }
        List<KeyOrder> wanted = wanted(nowNs);
        states.entrySet().removeIf(entry -> entry.getValue().isOver(nowNs) && !wanted.contains(entry.getKey()));
        for (KeyOrder order : wanted) {
            OrderState state = states.computeIfAbsent(order, key -> new OrderState(nowNs));
            if (!state.open && nowNs >= state.nextNs) {
                state.open = true;
                due.add(order);
            }
        }
        return due;
    }

    /** Returns the hold time in ms of a grant that is sent now, or 0 when it must not be sent any more. */
    public long beginGrant(KeyOrder.Grant order, long nowNs) {
        boolean isCurrent = states.containsKey(order) && wantedGrants().contains(order);
        long holdMs = isCurrent ? holder.holdMs(nowNs) : 0;
        if (holdMs > 0) {
            long holdEndNs = KeyHolder.holdEndNs(holdMs, nowNs);
            OrderState state = states.get(order);
            state.sent = new SentGrant(order.range(), holdEndNs);
            state.sentHoldEndNs = nowNs + holdMs * 1_000_000 - LeaseTiming.MARGIN_NS;
            sentGrants.add(state.sent);
            holder.holdPossibleUntil(holdEndNs);
        }
        return holdMs;
    }

    /** Whether a release must still be sent. */
    public boolean beginRelease(KeyOrder.Release order) {
        return states.containsKey(order) && holder.openReleases().contains(order);
    }

    /** The backend server confirmed the order. */
    public void confirmed(KeyOrder order, String handover, long nowNs) {
        OrderState state = close(order, nowNs + RENEWAL_INTERVAL_NS);
        if (state == null) {
            return;
        }
        if (state.sent != null) {
            state.sent.answered = true;
            state.inForceUntilNs = state.sentHoldEndNs;
        }
        if (order instanceof KeyOrder.Release release) {
            confirmedReleases.put(release, handover);
            endReleases(nowNs);
        }
    }

    /** The backend server refused the order, which has no effect. */
    public void refused(KeyOrder order, long nowNs) {
        OrderState state = close(order, nowNs + REFUSED_DELAY_NS);
        if (state != null && state.sent != null) {
            state.sent.answered = true;
            state.inForceUntilNs = Long.MIN_VALUE;
        }
    }

    /** The order was sent and has no response; it may still take effect. */
    public void unanswered(KeyOrder order, long nowNs) {
        close(order, nowNs + RETRY_DELAY_NS);
    }

    /** The order was not sent. */
    public void notSent(KeyOrder order, long nowNs) {
        close(order, nowNs + RETRY_DELAY_NS);
    }

    private OrderState close(KeyOrder order, long nextNs) {
        OrderState state = states.get(order);
        if (state == null || !state.open) {
            return null;
        }
        state.open = false;
        state.nextNs = nextNs;
        return state;
    }

    private List<KeyOrder> wanted(long nowNs) {
        List<KeyOrder> wanted = new ArrayList<>();
        for (KeyOrder.Release release : holder.openReleases()) {
            // A release may overtake a grant that is on its way.
            if (!confirmedReleases.containsKey(release) && !isBeingGranted(release.range())) {
                wanted.add(release);
            }
        }
        if (holder.holdMs(nowNs) > 0) {
            wanted.addAll(wantedGrants());
        }
        return wanted;
    }

    private List<KeyOrder.Grant> wantedGrants() {
        List<KeyOrder.Grant> wanted = new ArrayList<>();
        for (KeyGrant grant : holder.currentGrants()) {
            wanted.add(new KeyOrder.Grant(grant.range(), grant.fence(), grant.handover()));
        }
        return wanted;
    }

    private boolean isBeingGranted(KeyRange range) {
        return states.entrySet().stream()
                .anyMatch(entry -> entry.getKey() instanceof KeyOrder.Grant grant
                        && entry.getValue().open
                        && grant.range().overlaps(range));
    }

    private void endReleases(long nowNs) {
        for (KeyOrder.Release release : holder.openReleases()) {
            String handover = confirmedReleases.get(release);
            boolean onlyUnanswered = handover != null;
            if (nowNs > possibleHoldEndNs(release.range(), onlyUnanswered)) {
                holder.releaseEnded(release, handover == null ? "" : handover);
            }
        }
        confirmedReleases.keySet().retainAll(holder.openReleases());
    }

    /** Time after which no grant of the range can be in force, or none that had no response. */
    private long possibleHoldEndNs(KeyRange range, boolean onlyUnanswered) {
        long endNs = earlierGrantsEndNs;
        for (SentGrant sent : sentGrants) {
            if (sent.range.overlaps(range) && !(onlyUnanswered && sent.answered)) {
                endNs = Math.max(endNs, sent.holdEndNs);
            }
        }
        return endNs;
    }

    private boolean covers(int key, long nowNs) {
        long fence = holder.run() == run ? holder.currentFence(key) : 0;
        if (fence == 0) {
            return false;
        }
        for (Map.Entry<KeyOrder, OrderState> entry : states.entrySet()) {
            KeyOrder order = entry.getKey();
            boolean isInForce = nowNs < entry.getValue().inForceUntilNs;
            if (isInForce && order.fence() == fence && order.range().contains(key)) {
                return true;
            }
        }
        return false;
    }

    private static final class OrderState {
        /** Whether the order is on its way. */
        private boolean open;

        private long nextNs;
        private SentGrant sent;
        private long sentHoldEndNs;
        /** Time until which the grant is certainly in force; in the past when there is none. */
        private long inForceUntilNs = Long.MIN_VALUE;

        private OrderState(long nextNs) {
            this.nextNs = nextNs;
        }

        private boolean isOver(long nowNs) {
            return !open && nowNs >= inForceUntilNs;
        }
    }

    /** Grant that was sent and may be in force until its hold ends. */
    private static final class SentGrant {
        private final KeyRange range;
        private final long holdEndNs;
        private boolean answered;

        private SentGrant(KeyRange range, long holdEndNs) {
            this.range = range;
            this.holdEndNs = holdEndNs;
        }
    }
}
