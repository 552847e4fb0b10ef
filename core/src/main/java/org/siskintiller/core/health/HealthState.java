package org.siskintiller.core.health;

/** Whether a backend server gets work, judged by the results of its requests. */
public enum HealthState {
    SERVING,
    EJECTED,
    /** It answers again and gets a growing share of its slots. */
    RETURNING
}
