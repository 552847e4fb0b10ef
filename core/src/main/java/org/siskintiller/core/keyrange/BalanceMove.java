package org.siskintiller.core.keyrange;

import java.util.Objects;

/**
 * Move that balances the load.
 *
 * @param rate requests a second for the keys of the move when it was decided
 */
public record BalanceMove(KeyMove move, double rate) {

    public BalanceMove {
        Objects.requireNonNull(move, "move");
    }

    KeyRange range() {
        return move.range();
    }
}
