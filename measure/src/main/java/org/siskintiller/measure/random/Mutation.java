package org.siskintiller.measure.random;

/** Mechanism that is broken on purpose, to show that the check of its invariant can fail. */
enum Mutation {
    NONE,
    /** Every reply of a witness grants the claim. Violates SOLE_OWNER. */
    GRANT_ALL_CLAIMS,
    /** A standby acknowledges request records without storing them. Violates AT_MOST_ONCE. */
    FORGET_RECORDS,
    /** Some committed requests are reported as not run. Violates NOT_RUN_IS_TRUE. */
    REPORT_NOT_RUN,
    /** A stop does not wait for running requests. Violates GRACEFUL_STOP. */
    STOP_AT_ONCE,
    /** A stop is requested, but the gate and the control plane never receive it. Violates NO_WORK_WHEN_LEAVING. */
    IGNORE_DRAIN,
    /** A companion applies log records without some changes of the configuration. Violates CONFIG_NEVER_REVERTS. */
    SKIP_CONFIGURATION
}
