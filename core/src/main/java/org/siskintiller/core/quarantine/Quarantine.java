package org.siskintiller.core.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Incarnation;

/**
 * Detects requests that crash backend servers. A request is refused once two backend servers were lost while they ran
 * it, unless it completed in between: a frequent request is in flight at every loss of a backend server.
 */
public final class Quarantine {
    /** Number of losses at which a request is refused. A single loss may be a coincidence. */
    public static final int REFUSAL_LOSSES = 2;
    /** Maximum number of suspected fingerprints. The one with the oldest change is removed first. */
    public static final int MAX_SUSPICIONS = 10_000;
    /** Time after which a suspicion without a new loss expires. */
    public static final long SUSPICION_LIFETIME_NS = 3_600_000_000_000L;

    private static final int MAX_LOSSES_PER_REQUEST = 8;

    /** Entries by fingerprint, ordered by their last change, oldest first. */
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    /** Records that the backend server beside the companion was lost while it ran the request. */
    public void recordLoss(long fingerprint, Incarnation lostAt, long nowNs) {
        Entry entry = unexpiredEntry(fingerprint, nowNs);
        if (entry != null && entry.cleared.contains(lostAt)) {
            // Direct evidence: this loss is newer than the response that cleared the earlier one.
            Set<Incarnation> cleared = new HashSet<>(entry.cleared);
            cleared.remove(lostAt);
            entries.put(fingerprint, new Entry(entry.lostAt, Set.copyOf(cleared), entry.changedNs));
        }
        add(new Suspicion(fingerprint, Set.of(lostAt)), nowNs);
    }

    /**
     * Records a response to the request, which shows that the losses so far had another cause. Returns what it has cleared, to
     * be sent to other companions.
     */
    public Optional<Suspicion> recordResponse(long fingerprint, long nowNs) {
        Entry entry = unexpiredEntry(fingerprint, nowNs);
        if (entry == null || entry.lostAt.isEmpty()) {
            return Optional.empty();
        }
        Set<Incarnation> cleared = new HashSet<>(entry.lostAt);
        for (Incarnation earlier : entry.cleared) {
            if (cleared.size() < MAX_LOSSES_PER_REQUEST) {
                cleared.add(earlier);
            }
        }
        entries.remove(fingerprint);
        entries.put(fingerprint, new Entry(Set.of(), Set.copyOf(cleared), nowNs));
        return Optional.of(new Suspicion(fingerprint, Set.of(), entry.lostAt));
    }

    /** Merges suspicions of other companions. A suspicion that is already known does not extend its lifetime. */
    public void addSuspicions(List<Suspicion> suspicions, long nowNs) {
        for (Suspicion suspicion : suspicions) {
            add(suspicion, nowNs);
        }
    }

    public boolean isRefused(long fingerprint, long nowNs) {
        Entry entry = unexpiredEntry(fingerprint, nowNs);
        return entry != null && entry.lostAt.size() >= REFUSAL_LOSSES;
    }

    /** Whether a backend server was lost while it ran this request. */
    public boolean isSuspected(long fingerprint, long nowNs) {
        Entry entry = unexpiredEntry(fingerprint, nowNs);
        return entry != null && !entry.lostAt.isEmpty();
    }

    /** Suspicion that is sent with a response or retry of the request. */
    public Optional<Suspicion> suspicion(long fingerprint, long nowNs) {
        Entry entry = unexpiredEntry(fingerprint, nowNs);
        return entry == null || entry.lostAt.isEmpty()
                ? Optional.empty()
                : Optional.of(new Suspicion(fingerprint, entry.lostAt));
    }

    /** All suspicions, for a companion that knows none. */
    public List<Suspicion> suspicions(long nowNs) {
        List<Suspicion> suspicions = new ArrayList<>();
        entries.keySet().forEach(fingerprint -> suspicion(fingerprint, nowNs).ifPresent(suspicions::add));
        return suspicions;
    }

    /** Suspicions of the refused fingerprints, to be sent to other companions. */
    public List<Suspicion> refused(long nowNs) {
        List<Suspicion> refused = new ArrayList<>();
        entries.forEach((fingerprint, entry) -> {
            if (entry.lostAt.size() >= REFUSAL_LOSSES && nowNs - entry.changedNs <= SUSPICION_LIFETIME_NS) {
                refused.add(new Suspicion(fingerprint, entry.lostAt));
            }
        });
        return refused;
    }

    public int size() {
        return entries.size();
    }

    private void add(Suspicion suspicion, long nowNs) {
        long fingerprint = suspicion.fingerprint();
        Entry entry = unexpiredEntry(fingerprint, nowNs);
        Entry known = entry == null ? Entry.EMPTY : entry;
        Set<Incarnation> cleared = union(known.cleared, suspicion.cleared());
        Set<Incarnation> lostAt = new HashSet<>(union(known.lostAt, suspicion.lostAt()));
        lostAt.removeAll(cleared);
        if (lostAt.equals(known.lostAt) && cleared.equals(known.cleared)) {
            return;
        }
        entries.remove(fingerprint);
        entries.put(fingerprint, new Entry(Set.copyOf(lostAt), cleared, nowNs));
        removeExpired(nowNs);
    }

    private static Set<Incarnation> union(Set<Incarnation> known, Set<Incarnation> added) {
        Set<Incarnation> union = new HashSet<>(known);
        for (Incarnation incarnation : added) {
            if (union.size() < MAX_LOSSES_PER_REQUEST) {
                union.add(incarnation);
            }
        }
        return Set.copyOf(union);
    }

    private Entry unexpiredEntry(long fingerprint, long nowNs) {
        Entry entry = entries.get(fingerprint);
        return entry != null && nowNs - entry.changedNs <= SUSPICION_LIFETIME_NS ? entry : null;
    }

    private void removeExpired(long nowNs) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            if (entries.size() <= MAX_SUSPICIONS && nowNs - entry.changedNs <= SUSPICION_LIFETIME_NS) {
                return;
            }
            oldest.remove();
        }
    }

    /** Losses that coincided with one fingerprint, and losses that were cleared by a later response. */
    private record Entry(Set<Incarnation> lostAt, Set<Incarnation> cleared, long changedNs) {
        private static final Entry EMPTY = new Entry(Set.of(), Set.of(), 0);
    }
}
