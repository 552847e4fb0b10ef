package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Grants of one service in key order. Keys without a grant have no holder.
 *
 * @param term term of the authority that wrote the table
 * @param lastFence highest fence that was ever assigned for the service
 */
public record KeyTable(String service, long term, long lastFence, List<KeyGrant> grants) {

    /** Backend server, named by the instance beside it and the start time of its run. */
    public record Holder(String instance, long run) {
        public Holder {
            Objects.requireNonNull(instance, "instance");
        }
    }

    public KeyTable {
        Objects.requireNonNull(service, "service");
        grants = List.copyOf(grants);
        int next = 0;
        for (KeyGrant grant : grants) {
            if (grant.range().from() < next) {
                throw new IllegalArgumentException("key ranges overlap or are unordered at " + grant.range());
            }
            if (grant.fence() > lastFence) {
                throw new IllegalArgumentException("fence " + grant.fence() + " is above the last fence " + lastFence);
            }
            next = grant.range().to() + 1;
        }
    }

    public static KeyTable empty(String service) {
        return new KeyTable(service, 0, 0, List.of());
    }

    /** Returns a table with the same grants whose next fence is at least the given one. */
    public KeyTable withNextFence(long fence) {
        return new KeyTable(service, term, Math.max(lastFence, fence - 1), grants);
    }

    public Optional<KeyGrant> grantOf(int key) {
        int low = 0;
        int high = grants.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            KeyGrant grant = grants.get(middle);
            if (grant.range().contains(key)) {
                return Optional.of(grant);
            }
            if (grant.range().to() < key) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return Optional.empty();
    }

    public List<KeyGrant> heldBy(String instance) {
        List<KeyGrant> held = new ArrayList<>();
        for (KeyGrant grant : grants) {
            if (grant.holder().equals(instance)) {
                held.add(grant);
            }
        }
        return held;
    }

    public int keysHeldBy(String instance) {
        int keys = 0;
        for (KeyGrant grant : grants) {
            if (grant.holder().equals(instance)) {
                keys += grant.range().size();
            }
        }
        return keys;
    }

    /** Returns the ranges without a holder. */
    public List<KeyRange> unassigned() {
        List<KeyRange> free = new ArrayList<>();
        int next = 0;
        for (KeyGrant grant : grants) {
            if (grant.range().from() > next) {
                free.add(new KeyRange(next, grant.range().from() - 1));
            }
            next = grant.range().to() + 1;
        }
        if (next <= KeyRange.MAX_KEY) {
            free.add(new KeyRange(next, KeyRange.MAX_KEY));
        }
        return free;
    }

    /** Returns the grants with a higher fence: what has changed since the table of the same term with this last fence. */
    public List<KeyGrant> grantsAfter(long fence) {
        return grants.stream().filter(grant -> grant.fence() > fence).toList();
    }

    /**
     * Returns a later table of the same term, in which the authority has only assigned ranges with new fences.
     *
     * @param changed {@link #grantsAfter} the last fence of this table, or of an earlier one, in the later table
     */
    public KeyTable updated(long newLastFence, List<KeyGrant> changed) {
        List<KeyRange> cuts = changed.stream().map(KeyGrant::range).toList();
        List<KeyGrant> next = new ArrayList<>(changed);
        int first = 0;
        for (KeyGrant grant : grants) {
            while (first < cuts.size() && cuts.get(first).to() < grant.range().from()) {
                first++;
            }
            int end = first;
            while (end < cuts.size() && cuts.get(end).from() <= grant.range().to()) {
                end++;
            }
            next.addAll(grant.without(cuts.subList(first, end)));
        }
        next.sort(Comparator.comparingInt(grant -> grant.range().from()));
        return new KeyTable(service, term, newLastFence, next);
    }

    /** Returns a table that assigns the range to a holder with a new fence. Overlapping grants are cut. */
    public KeyTable assign(KeyRange range, Holder holder, String handover, long newTerm) {
        long fence = lastFence + 1;
        List<KeyGrant> next = new ArrayList<>();
        boolean placed = false;
        KeyGrant added = new KeyGrant(range, holder.instance(), holder.run(), fence, handover);
        for (KeyGrant grant : grants) {
            KeyRange old = grant.range();
            if (!old.overlaps(range)) {
                if (!placed && old.from() > range.to()) {
                    next.add(added);
                    placed = true;
                }
                next.add(grant);
                continue;
            }
            if (old.from() < range.from()) {
                next.add(grant.withRange(new KeyRange(old.from(), range.from() - 1)));
            }
            if (!placed) {
                next.add(added);
                placed = true;
            }
            if (old.to() > range.to()) {
                next.add(grant.withRange(new KeyRange(range.to() + 1, old.to())));
            }
        }
        if (!placed) {
            next.add(added);
        }
        return new KeyTable(service, newTerm, fence, next);
    }
}
