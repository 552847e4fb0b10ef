package org.siskintiller.core.model;

import java.util.Objects;

/** Who changed what, from which value to which, and with which outcome. */
public record AuditEntry(String who, String what, String from, String to, String outcome) {

    public AuditEntry {
        Objects.requireNonNull(who, "who");
        Objects.requireNonNull(what, "what");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        Objects.requireNonNull(outcome, "outcome");
    }
}
