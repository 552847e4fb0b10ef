package org.siskintiller.router.backend;

import java.util.Objects;

import org.siskintiller.core.keyrange.KeyRates;
import org.siskintiller.core.lease.KeyHolder;

/** Keys of the backend server of this machine: the leases that it holds and the request rates. */
public record HeldKeys(KeyHolder holder, KeyRates rates) {

    public HeldKeys {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(rates, "rates");
    }
}
