package org.siskintiller.core.lease;

import java.util.Objects;

import org.siskintiller.core.keyrange.KeyRange;

/** Order that tells a backend server which keys it holds. */
public sealed interface KeyOrder {
    KeyRange range();

    long fence();

    /**
     * Grants a range, or renews a grant. The hold time counts from the arrival of the order.
     *
     * @param handover token of the previous holder, empty when it sent none
     */
    record Grant(KeyRange range, long fence, String handover) implements KeyOrder {
        public Grant {
            Objects.requireNonNull(range, "range");
            Objects.requireNonNull(handover, "handover");
        }
    }

    /** Ends new work on a range. The response arrives when the running work has ended. */
    record Release(KeyRange range, long fence) implements KeyOrder {
        public Release {
            Objects.requireNonNull(range, "range");
        }
    }
}
