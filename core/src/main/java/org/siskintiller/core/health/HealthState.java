package org.siskintiller.core.health;

/** Health of a backend server, judged by the results of its requests. Decides whether it receives requests. */
public enum HealthState {
    SERVING,
    EJECTED,
    /** It responds again and receives an increasing share of its slots. */
    RETURNING
}
