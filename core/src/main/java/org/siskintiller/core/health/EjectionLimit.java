package org.siskintiller.core.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;

/** Limits how many backend servers of a service are ejected at once, so that a common fault does not eject them all. */
public final class EjectionLimit {
    private static final int MAX_SHARE_DIVISOR = 3;

    private EjectionLimit() {}

    /**
     * Returns the backend servers whose ejection takes effect: the earliest ones, at most a third of all.
     *
     * @param total number of backend servers of the service
     */
    public static Set<Incarnation> effective(int total, Collection<Ejection> ejections) {
        List<Ejection> ordered = new ArrayList<>(ejections);
        ordered.sort(Comparator.comparingLong(Ejection::sinceNs).thenComparing(Ejection::incarnation));
        Set<Incarnation> effective = new HashSet<>();
        for (Ejection ejection : ordered) {
            if (effective.size() >= total / MAX_SHARE_DIVISOR) {
                break;
            }
            effective.add(ejection.incarnation());
        }
        return effective;
    }

    /** Ejection of a backend server by its companion or by the results of the ingress companion. */
    public record Ejection(Incarnation incarnation, long sinceNs) {}
}
