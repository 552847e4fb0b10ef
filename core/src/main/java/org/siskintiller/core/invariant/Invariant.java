package org.siskintiller.core.invariant;

/** Guarantees of section 1.2 of the design page. */
public enum Invariant {
    SOLE_OWNER,
    ASSIGNMENT_DURABLE,
    ANSWER_MATCHES_REQUEST,
    NOT_RUN_IS_TRUE,
    AT_MOST_ONCE,
    NO_WORK_WHEN_LEAVING,
    GRACEFUL_STOP,
    CONFIG_NEVER_REVERTS;

    /** Throws an {@link InvariantViolation} if the condition is false. */
    public void check(boolean condition, String detail) {
        if (!condition) {
            throw new InvariantViolation(this, detail);
        }
    }
}
