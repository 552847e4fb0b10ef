package org.siskintiller.core.retry;

import java.util.Objects;
import java.util.Set;

import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.model.Incarnation;

/**
 * Attempt that was refused or failed.
 *
 * @param attempts attempts so far, at least 1
 * @param target companion that the attempt went to, or null if it was not sent
 * @param excluded companions that earlier attempts excluded
 */
public record FailedAttempt(
        boolean idempotent,
        RefusalKind kind,
        long retryAfterMs,
        int attempts,
        Incarnation target,
        Set<Incarnation> excluded,
        long deadlineNs) {

    public FailedAttempt {
        Objects.requireNonNull(kind, "kind");
        excluded = Set.copyOf(excluded);
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts must be at least 1");
        }
    }
}
