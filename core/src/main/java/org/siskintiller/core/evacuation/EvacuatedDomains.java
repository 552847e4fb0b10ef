package org.siskintiller.core.evacuation;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Newest known state of each failure domain that was ever evacuated. Records arrive from the store and from other
 * companions in any order, so the record with the highest offset counts. Immutable.
 */
public final class EvacuatedDomains {
    public static final EvacuatedDomains NONE = new EvacuatedDomains(new TreeMap<>(), 0);

    private final Map<String, Evacuation> states;
    /** Records with a lower offset have been read, so that a state that is missing here has ended before. */
    private final long readEnd;

    private EvacuatedDomains(Map<String, Evacuation> states, long readEnd) {
        this.states = states;
        this.readEnd = readEnd;
    }

    /** Applies states that were read in part of the topic or that another companion knows. */
    public EvacuatedDomains with(Collection<Evacuation> received) {
        TreeMap<String, Evacuation> next = new TreeMap<>(states);
        for (Evacuation evacuation : received) {
            Evacuation known = next.get(evacuation.domain());
            boolean isNewer = known == null ? evacuation.offset() >= readEnd : evacuation.isNewerThan(known);
            if (isNewer) {
                next.put(evacuation.domain(), evacuation);
            }
        }
        return next.equals(states) ? this : new EvacuatedDomains(next, readEnd);
    }

    /**
     * Applies a read of the newest records of all keys. The evacuation of a domain without a record has ended, unless it
     * is known from a record after the end of the read.
     *
     * @param end end of the topic before the read
     */
    public EvacuatedDomains withFullRead(Collection<Evacuation> read, long end) {
        Set<String> present = new HashSet<>();
        read.forEach(evacuation -> present.add(evacuation.domain()));
        TreeMap<String, Evacuation> next = new TreeMap<>(states);
        next.replaceAll((domain, known) -> {
            boolean hasEnded = known.active() && !present.contains(domain) && known.offset() < end;
            return hasEnded ? new Evacuation(domain, false, end - 1) : known;
        });
        // The full read itself contains records below the end that were not known before.
        return new EvacuatedDomains(next, 0).with(read).readUpTo(Math.max(readEnd, end));
    }

    /** Records that all records below the end have been read. */
    public EvacuatedDomains readUpTo(long end) {
        return end <= readEnd ? this : new EvacuatedDomains(states, end);
    }

    public boolean isEvacuated(String domain) {
        Evacuation known = states.get(domain);
        return known != null && known.active();
    }

    /** Domains whose evacuation is in force. */
    public Set<String> active() {
        Set<String> active = new TreeSet<>();
        for (Evacuation evacuation : states.values()) {
            if (evacuation.active()) {
                active.add(evacuation.domain());
            }
        }
        return active;
    }

    /** All known states, to send them to other companions. */
    public List<Evacuation> states() {
        return List.copyOf(states.values());
    }
}
