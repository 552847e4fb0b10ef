package org.siskintiller.node.runtime;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.siskintiller.core.model.Incarnation;

/** Companions that did not answer lately. They are tried after the other candidates of a slot. */
final class Suspects {
    /** Longer than a takeover, so that requests go to the successor first once it serves. */
    private static final long SUSPECT_NS = TimeUnit.SECONDS.toNanos(3);

    private final Map<Incarnation, Long> until = new ConcurrentHashMap<>();

    void mark(Incarnation incarnation, long nowNs) {
        until.put(incarnation, nowNs + SUSPECT_NS);
    }

    void clear(Incarnation incarnation) {
        until.remove(incarnation);
    }

    boolean contains(Incarnation incarnation, long nowNs) {
        Long end = until.get(incarnation);
        if (end == null) {
            return false;
        }
        if (nowNs - end >= 0) {
            until.remove(incarnation, end);
            return false;
        }
        return true;
    }
}
