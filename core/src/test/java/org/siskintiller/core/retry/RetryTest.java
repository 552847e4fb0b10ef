package org.siskintiller.core.retry;

import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.Incarnation;

import static com.google.common.truth.Truth.assertThat;

class RetryTest {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final Incarnation TARGET = new Incarnation(1);

    /** Guards against retries that multiply an overload. */
    @Property(seed = "1", tries = 200)
    void budgetIsShareOfSuccessesPlusFloor(@ForAll @Size(max = 500) List<@IntRange(min = 0, max = 2) Integer> steps) {
        RetryBudget budget = new RetryBudget(10);
        int successes = 0;
        int retries = 0;
        long now = 0;
        for (int step : steps) {
            now += SECOND_NS / 100;
            if (step == 0) {
                budget.succeeded();
                successes++;
            } else if (budget.tryTake(now)) {
                retries++;
            }
        }
        double floor = 1 + now / (double) SECOND_NS * RetryBudget.FLOOR_PER_SECOND;
        assertThat((double) retries).isAtMost(successes * 0.1 + floor + 1e-6);
    }

    /** Guards against a second run of a request that may have run, whatever the kind of failure. */
    @Test
    void neverRetriesARequestThatMayHaveRun() {
        for (RefusalKind kind : RefusalKind.values()) {
            RetryDecision decision = policy().decide(attempt(false, kind, 1, 10 * SECOND_NS), 0);
            if (kind.outcome() != Outcome.NOT_RUN) {
                assertThat(decision).isInstanceOf(RetryDecision.NoRetry.class);
            }
        }
    }

    /** Guards against a retry at the backend server that just failed, and against one after the deadline. */
    @Property(seed = "2", tries = 300)
    void staysWithinDeadlineAndAwayFromFailure(
            @ForAll @IntRange(min = 1, max = 19) int attempts, @ForAll @IntRange(max = 300) int remainingMs) {
        long deadlineNs = remainingMs * 1_000_000L;
        RetryDecision decision = policy().decide(attempt(true, RefusalKind.BACKEND_FAILED, attempts, deadlineNs), 0);
        if (decision instanceof RetryDecision.Retry) {
            RetryDecision.Retry retry = (RetryDecision.Retry) decision;
            assertThat(retry.delayNs()).isAtMost(deadlineNs - RetryPolicy.MIN_REMAINING_NS);
            assertThat(retry.delayNs()).isGreaterThan(0L);
            assertThat(retry.excluded()).containsExactly(TARGET);
        } else {
            assertThat(remainingMs).isAtMost(202);
        }
    }

    /** Guards against retries of all callers at the same time. */
    @Test
    void addsJitter() {
        RetryPolicy policy = policy();
        FailedAttempt attempt = attempt(true, RefusalKind.OWNER_UNKNOWN, 3, 10 * SECOND_NS);
        assertThat(policy.decide(attempt, 0)).isNotEqualTo(policy.decide(attempt, 0));
    }

    private static RetryPolicy policy() {
        return new RetryPolicy(new RetryBudget(10), new Random(7));
    }

    private static FailedAttempt attempt(boolean idempotent, RefusalKind kind, int attempts, long deadlineNs) {
        return new FailedAttempt(idempotent, kind, 0, attempts, TARGET, Set.of(), deadlineNs);
    }
}
