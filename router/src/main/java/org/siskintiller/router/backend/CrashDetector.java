package org.siskintiller.router.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.quarantine.Quarantine;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Tells losses of single connections from losses of the backend server, and suspects the requests it ran then. */
public final class CrashDetector {
    /** A lost connection belongs to a crash when the backend server refuses connections this soon after it. */
    private static final long REFUSED_WITHIN_NS = 1_000_000_000L;
    /** The same for a new run: backend servers start again within some seconds. */
    private static final long NEW_RUN_WITHIN_NS = 8_000_000_000L;

    private static final int MOST_LOSSES = 64;

    private final Quarantine quarantine = new Quarantine();
    private final Deque<Loss> losses = new ArrayDeque<>();
    private Consumer<List<Suspicion>> publisher = suspicions -> {};

    public void onSuspicion(Consumer<List<Suspicion>> action) {
        publisher = action;
    }

    /** A connection ended while the request ran on it in the given run of the backend server. */
    void lostInFlight(long fingerprint, long run, long nowNs) {
        if (losses.size() >= MOST_LOSSES) {
            losses.removeFirst();
        }
        losses.addLast(new Loss(fingerprint, run, nowNs));
    }

    void unreachable(long nowNs) {
        suspect(REFUSED_WITHIN_NS, nowNs);
    }

    void newRun(long nowNs) {
        suspect(NEW_RUN_WITHIN_NS, nowNs);
    }

    void answered(long fingerprint, long nowNs) {
        losses.removeIf(loss -> loss.fingerprint == fingerprint);
        quarantine.answered(fingerprint, nowNs);
    }

    public void suspicionsReceived(List<Suspicion> suspicions) {
        quarantine.received(suspicions, System.nanoTime());
    }

    public boolean refuses(long fingerprint, long nowNs) {
        return quarantine.refuses(fingerprint, nowNs);
    }

    private void suspect(long withinNs, long nowNs) {
        List<Suspicion> suspicions = new ArrayList<>();
        for (Loss loss : losses) {
            if (nowNs - loss.atNs > withinNs) {
                continue;
            }
            quarantine.lost(loss.fingerprint, new Incarnation(loss.run), nowNs);
            quarantine.suspicion(loss.fingerprint, nowNs).ifPresent(suspicions::add);
            EventLog.log(LogEvent.CRASH_SUSPECTED, "fingerprint", Long.toHexString(loss.fingerprint));
        }
        losses.clear();
        if (!suspicions.isEmpty()) {
            publisher.accept(suspicions);
        }
    }

    private record Loss(long fingerprint, long run, long atNs) {}
}
