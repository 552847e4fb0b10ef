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
 * Recognises requests that crash backend servers. A request is refused once two backend servers were lost while they
 * ran it, unless it was answered in between: a frequent request is in flight whenever a backend server is lost.
 */
public final class Quarantine {
    /** Losses after which a request is refused. One loss may be a coincidence. */
    public static final int LOSSES = 2;
    /** Largest number of suspected fingerprints. The one that was suspected longest ago is forgotten first. */
    public static final int MAX_SUSPICIONS = 10_000;
    /** Time after which a suspicion without a new loss is forgotten. */
    public static final long LIFETIME_NS = 3_600_000_000_000L;

    private static final int MAX_LOST_AT = 8;

    /** In order of the last change, oldest first. */
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    /** Records that the backend server beside the companion was lost while it ran the request. */
    public void recordLoss(long fingerprint, Incarnation at, long nowNs) {
        Entry entry = live(fingerprint, nowNs);
        if (entry != null && entry.forgiven.contains(at)) {
            // First-hand evidence is newer than the answer that forgave the earlier loss.
            Set<Incarnation> forgiven = new HashSet<>(entry.forgiven);
            forgiven.remove(at);
            entries.put(fingerprint, new Entry(entry.lostAt, Set.copyOf(forgiven), entry.changedNs));
        }
        add(fingerprint, Set.of(at), nowNs);
    }

    /** Records that the request was answered, so that the losses so far had another cause. */
    public void recordResponse(long fingerprint, long nowNs) {
        Entry entry = live(fingerprint, nowNs);
        if (entry == null || entry.lostAt.isEmpty()) {
            return;
        }
        Set<Incarnation> forgiven = new HashSet<>(entry.lostAt);
        for (Incarnation earlier : entry.forgiven) {
            if (forgiven.size() < MAX_LOST_AT) {
                forgiven.add(earlier);
            }
        }
        entries.remove(fingerprint);
        entries.put(fingerprint, new Entry(Set.of(), Set.copyOf(forgiven), nowNs));
    }

    /** Merges what other companions saw. Suspicions that are already known do not prolong their lifetime. */
    public void addSuspicions(List<Suspicion> suspicions, long nowNs) {
        for (Suspicion suspicion : suspicions) {
            add(suspicion.fingerprint(), suspicion.lostAt(), nowNs);
        }
    }

    public boolean isRefused(long fingerprint, long nowNs) {
        Entry entry = live(fingerprint, nowNs);
        return entry != null && entry.lostAt.size() >= LOSSES;
    }

    /** Whether a backend server was lost while it ran this request. */
    public boolean isSuspected(long fingerprint, long nowNs) {
        Entry entry = live(fingerprint, nowNs);
        return entry != null && !entry.lostAt.isEmpty();
    }

    /** Suspicion that travels with a response or retry of the request. */
    public Optional<Suspicion> suspicion(long fingerprint, long nowNs) {
        Entry entry = live(fingerprint, nowNs);
        return entry == null || entry.lostAt.isEmpty()
                ? Optional.empty()
                : Optional.of(new Suspicion(fingerprint, entry.lostAt));
    }

    /** Refused fingerprints, for other companions. */
    public List<Suspicion> refused(long nowNs) {
        List<Suspicion> refused = new ArrayList<>();
        entries.forEach((fingerprint, entry) -> {
            if (entry.lostAt.size() >= LOSSES && nowNs - entry.changedNs <= LIFETIME_NS) {
                refused.add(new Suspicion(fingerprint, entry.lostAt));
            }
        });
        return refused;
    }

    public int size() {
        return entries.size();
    }

    private void add(long fingerprint, Set<Incarnation> lostAt, long nowNs) {
        if (lostAt.isEmpty()) {
            return;
        }
        Entry entry = live(fingerprint, nowNs);
        Set<Incarnation> all = new HashSet<>(entry == null ? Set.of() : entry.lostAt);
        Set<Incarnation> forgiven = entry == null ? Set.of() : entry.forgiven;
        for (Incarnation incarnation : lostAt) {
            if (all.size() < MAX_LOST_AT && !forgiven.contains(incarnation)) {
                all.add(incarnation);
            }
        }
        if (all.size() == (entry == null ? 0 : entry.lostAt.size())) {
            return;
        }
        entries.remove(fingerprint);
        entries.put(fingerprint, new Entry(Set.copyOf(all), forgiven, nowNs));
        forgetOld(nowNs);
    }

    private Entry live(long fingerprint, long nowNs) {
        Entry entry = entries.get(fingerprint);
        return entry != null && nowNs - entry.changedNs <= LIFETIME_NS ? entry : null;
    }

    private void forgetOld(long nowNs) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            if (entries.size() <= MAX_SUSPICIONS && nowNs - entry.changedNs <= LIFETIME_NS) {
                return;
            }
            oldest.remove();
        }
    }

    /** Losses that coincided with one fingerprint, and those before its last answer. */
    private record Entry(Set<Incarnation> lostAt, Set<Incarnation> forgiven, long changedNs) {}
}
