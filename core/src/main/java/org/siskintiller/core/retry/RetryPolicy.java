package org.siskintiller.core.retry;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.Incarnation;

/**
 * Decides on retries. Only a request that cannot run twice or is idempotent is retried, within the retry budget and the
 * deadline, and not at the backend server that just failed.
 */
public final class RetryPolicy {
    public static final int MAX_ATTEMPTS = 20;
    /** Minimum time that must remain after the delay for another attempt: one hop and one connection. */
    public static final long MIN_REMAINING_NS = 2_000_000L;

    private static final long FIRST_DELAY_NS = 5_000_000L;
    private static final long MAX_DELAY_NS = 200_000_000L;
    private static final long NS_PER_MS = 1_000_000L;
    private static final Set<RefusalKind> RETRIED = EnumSet.of(
            RefusalKind.NOT_OWNER,
            RefusalKind.NO_LEASE,
            RefusalKind.RECORD_NOT_STORED,
            RefusalKind.BACKEND_REFUSED,
            RefusalKind.BACKEND_FAILED,
            RefusalKind.DRAINING,
            RefusalKind.OWNER_UNKNOWN);
    /** Kinds that concern the backend server itself, not only the view of its ownership, and so exclude it. */
    private static final Set<RefusalKind> EXCLUDING =
            EnumSet.of(RefusalKind.BACKEND_REFUSED, RefusalKind.BACKEND_FAILED, RefusalKind.DRAINING);

    private final RetryBudget budget;
    private final RandomGenerator random;

    public RetryPolicy(RetryBudget budget, RandomGenerator random) {
        this.budget = budget;
        this.random = random;
    }

    public RetryDecision decide(FailedAttempt attempt, long nowNs) {
        if (!RETRIED.contains(attempt.kind())) {
            return new RetryDecision.NoRetry(RetryDecision.Reason.FINAL);
        }
        if (attempt.kind().outcome() != Outcome.NOT_RUN && !attempt.idempotent()) {
            return new RetryDecision.NoRetry(RetryDecision.Reason.MAY_HAVE_RUN);
        }
        if (attempt.attempts() >= MAX_ATTEMPTS) {
            return new RetryDecision.NoRetry(RetryDecision.Reason.TOO_MANY_ATTEMPTS);
        }
        long delayNs = delayNs(attempt);
        if (attempt.deadlineNs() - nowNs - delayNs < MIN_REMAINING_NS) {
            return new RetryDecision.NoRetry(RetryDecision.Reason.NO_TIME);
        }
        // Waiting for an owner sends nothing and costs no backend server any work.
        if (attempt.kind() != RefusalKind.OWNER_UNKNOWN && !budget.tryTake(nowNs)) {
            return new RetryDecision.NoRetry(RetryDecision.Reason.NO_BUDGET);
        }
        return new RetryDecision.Retry(delayNs, excluded(attempt));
    }

    private long delayNs(FailedAttempt attempt) {
        int doublings = Math.min(attempt.attempts() - 1, 10);
        long backoffNs = Math.min(MAX_DELAY_NS, FIRST_DELAY_NS << doublings);
        long requestedNs = Math.min(MAX_DELAY_NS, Math.max(0, attempt.retryAfterMs()) * NS_PER_MS);
        long baseNs = Math.max(backoffNs, requestedNs);
        return baseNs / 2 + random.nextLong(baseNs / 2 + 1);
    }

    private static Set<Incarnation> excluded(FailedAttempt attempt) {
        Set<Incarnation> excluded = new HashSet<>(attempt.excluded());
        if (attempt.target() != null && EXCLUDING.contains(attempt.kind())) {
            excluded.add(attempt.target());
        }
        return excluded;
    }
}
