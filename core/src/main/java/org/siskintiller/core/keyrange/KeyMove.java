package org.siskintiller.core.keyrange;

import java.util.Objects;

/** Proposal to move a range to another holder. */
public record KeyMove(KeyRange range, KeyTable.Holder from, KeyTable.Holder to) {

    public KeyMove {
        Objects.requireNonNull(range, "range");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
    }
}
