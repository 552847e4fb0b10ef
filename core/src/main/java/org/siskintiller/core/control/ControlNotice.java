package org.siskintiller.core.control;

/** Kinds of events that the control plane reports. The node maps each to a numbered log event. */
public enum ControlNotice {
    SESSION_OPENED,
    SESSION_ENDED,
    LEASE_ACQUIRED,
    LEASE_LOST,
    CLAIM_STARTED,
    CLAIM_GRANTED,
    SLOTS_OPENED,
    SLOTS_CLOSED,
    SLOTS_RELEASED,
    WITNESSES_CHANGED,
    ASSIGNMENT_PROPOSED,
    RECORD_VOID,
    SNAPSHOT_PROPOSED,
    CATCH_UP_STARTED
}
