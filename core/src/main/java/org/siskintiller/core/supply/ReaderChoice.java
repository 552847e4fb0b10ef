package org.siskintiller.core.supply;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the companions that read the store: one in each failure domain, which passes new records on to the others of its
 * domain, and more in a deployment of few domains.
 *
 * <p>Load pattern: a new record completes the pending read of each companion that waits for it. With 95 companions and a
 * move of keys every second, reads by all of them are some thousand calls in a minute, and each is charged.
 */
public final class ReaderChoice {
    /** Minimum number of readers, so that the store may turn away some machines without hiding a change from all. */
    static final int MIN_READERS = 5;
    /**
     * A reader whose last contact with the store is older supplies nobody. A read waits up to 4.3 s for a record, and the
     * contact is as old as the read before it when it ends.
     */
    private static final long MAX_STORE_AGE_MS = 9_000;

    private ReaderChoice() {}

    /**
     * Returns the readers among the companions that are connected, including this one, in a fixed order. One that does not reach
     * the store is replaced by the next one that does.
     */
    public static Set<String> readers(Collection<Companion> connected) {
        List<Companion> order = new ArrayList<>(connected);
        order.sort(Comparator.comparing((Companion companion) -> !companion.reachesStore())
                .thenComparingInt(companion -> spread(companion.instance()))
                .thenComparing(Companion::instance));
        Set<String> readers = new LinkedHashSet<>();
        Set<String> domains = new HashSet<>();
        for (Companion companion : order) {
            if (domains.add(companion.failureDomain())) {
                readers.add(companion.instance());
            }
        }
        for (Companion companion : order) {
            if (readers.size() >= MIN_READERS) {
                break;
            }
            readers.add(companion.instance());
        }
        return readers;
    }

    /** Returns the reader that passes large contents on in the domain of the companion: one copy is enough. */
    public static Optional<String> distributor(
            String failureDomain, Collection<Companion> connected, Set<String> readers) {
        Set<String> inDomain = new HashSet<>();
        for (Companion companion : connected) {
            if (companion.failureDomain().equals(failureDomain)) {
                inDomain.add(companion.instance());
            }
        }
        return readers.stream().filter(inDomain::contains).findFirst();
    }

    /** Whether a reader of its domain other than this companion has reached the store recently: only those supply it. */
    public static boolean hasSupplier(Companion self, Collection<Companion> connected, Set<String> readers) {
        for (Companion companion : connected) {
            boolean isOther = !companion.instance().equals(self.instance());
            if (isOther
                    && readers.contains(companion.instance())
                    && companion.failureDomain().equals(self.failureDomain())
                    && companion.reachesStore()
                    && companion.storeAgeMs() <= MAX_STORE_AGE_MS) {
                return true;
            }
        }
        return false;
    }

    /** Spreads names that differ in a digit only, so that the readers do not all serve the same service. */
    private static int spread(String instance) {
        int hash = instance.hashCode() * 0x9E3779B9;
        return hash ^ hash >>> 15;
    }

    /**
     * Companion in the view of another one.
     *
     * @param storeAgeMs time since its last contact with the store
     * @param reachesStore whether its latest read of the store neither failed nor is overdue
     */
    public record Companion(String instance, String failureDomain, long storeAgeMs, boolean reachesStore) {}
}
