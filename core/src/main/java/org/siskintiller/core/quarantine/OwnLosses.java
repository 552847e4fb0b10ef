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

/** Losses that this companion found itself, also in earlier processes, so that it can record them. */
public final class OwnLosses {
    /** Maximum number of requests. A crash adds at most as many as the backend server has slots. */
    static final int MAX_REQUESTS = 64;

    private static final long LIFETIME_MS = Quarantine.SUSPICION_LIFETIME_NS / 1_000_000;

    /** Losses by fingerprint, oldest first. */
    private final Map<Long, RecordedLoss> losses = new LinkedHashMap<>();

    /** Adds losses to those that are known for the request. */
    public void add(RecordedLoss added) {
        RecordedLoss known = losses.remove(added.fingerprint());
        Set<Incarnation> lostAt = new HashSet<>(added.lostAt());
        long foundAtMs = added.foundAtMs();
        if (known != null) {
            lostAt.addAll(known.lostAt());
            foundAtMs = Math.max(foundAtMs, known.foundAtMs());
        }
        losses.put(added.fingerprint(), new RecordedLoss(added.fingerprint(), lostAt, foundAtMs));
        Iterator<RecordedLoss> oldest = losses.values().iterator();
        while (losses.size() > MAX_REQUESTS) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the losses that no later response has cleared, and forgets the others. */
    public List<RecordedLoss> suspected(Quarantine quarantine, long nowNs, long timeOfDayMs) {
        List<RecordedLoss> suspected = new ArrayList<>();
        for (RecordedLoss loss : List.copyOf(losses.values())) {
            Optional<Suspicion> suspicion = quarantine.suspicion(loss.fingerprint(), nowNs);
            Set<Incarnation> lostAt = new HashSet<>(loss.lostAt());
            lostAt.retainAll(suspicion.map(Suspicion::lostAt).orElse(Set.of()));
            if (lostAt.isEmpty() || isExpired(loss, timeOfDayMs)) {
                losses.remove(loss.fingerprint());
            } else {
                suspected.add(new RecordedLoss(loss.fingerprint(), lostAt, loss.foundAtMs()));
            }
        }
        return suspected;
    }

    /** Whether a recorded loss is too old to count. */
    public static boolean isExpired(RecordedLoss loss, long timeOfDayMs) {
        return timeOfDayMs - loss.foundAtMs() > LIFETIME_MS;
    }
}
