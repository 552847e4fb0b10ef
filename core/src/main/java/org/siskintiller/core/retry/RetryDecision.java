package org.siskintiller.core.retry;

import java.util.Objects;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;

/** Whether and when a refused or failed request is sent again. */
public sealed interface RetryDecision {

    /** Route the request again after the delay, to none of the excluded backend servers. */
    record Retry(long delayNs, Set<Incarnation> excluded) implements RetryDecision {
        public Retry {
            excluded = Set.copyOf(excluded);
        }
    }

    /** Return the refusal to the caller. */
    record NoRetry(Reason reason) implements RetryDecision {
        public NoRetry {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** Why a request is not sent again. */
    enum Reason {
        /** Another attempt would be refused for the same reason. */
        FINAL,
        /** The request may have run and is not idempotent. */
        MAY_HAVE_RUN,
        NO_BUDGET,
        NO_TIME,
        TOO_MANY_ATTEMPTS
    }
}
