package org.siskintiller.ctl;

/** Kinds of changes in the audit trail. */
enum AuditKind {
    CONFIG,
    PRESET,
    CUSTOMER,
    ASSIGNMENT,
    DRAIN,
    SESSION,
    SNAPSHOT,
    OTHER
}
