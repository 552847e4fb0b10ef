package org.siskintiller.router.control;

import java.util.Objects;

import org.siskintiller.core.path.BackendPresence;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.backend.CrashDetector;
import org.siskintiller.router.backend.HeldKeys;

/** Components of a companion for the backend server on its machine. */
public record LocalBackend(
        BackendGate gate, BackendPresence presence, CrashDetector crashes, HeldKeys keys, GrantDelivery delivery) {

    public LocalBackend {
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(presence, "presence");
        Objects.requireNonNull(crashes, "crashes");
        Objects.requireNonNull(keys, "keys");
        Objects.requireNonNull(delivery, "delivery");
    }
}
