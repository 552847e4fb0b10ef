package org.siskintiller.core.model;

import java.util.Comparator;
import java.util.Objects;

/** One hash slot of a service. */
public record SlotId(String service, int slot) implements Comparable<SlotId> {
    private static final Comparator<SlotId> ORDER =
            Comparator.comparing(SlotId::service).thenComparingInt(SlotId::slot);

    public SlotId {
        Objects.requireNonNull(service, "service");
        if (slot < 0) {
            throw new IllegalArgumentException("slot " + slot + " is negative");
        }
    }

    @Override
    public int compareTo(SlotId other) {
        return ORDER.compare(this, other);
    }
}
