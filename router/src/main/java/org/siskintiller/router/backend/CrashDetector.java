package org.siskintiller.router.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.quarantine.OwnLosses;
import org.siskintiller.core.quarantine.Quarantine;
import org.siskintiller.core.quarantine.RecordedLoss;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/**
 * Distinguishes the loss of a single connection from a crash of the backend server, and suspects the requests that were
 * running at a crash of having caused it.
 */
public final class CrashDetector {
    /** A lost connection counts as a crash when the backend server refuses a connection within this time after it. */
    private static final long REFUSED_WINDOW_NS = 1_000_000_000L;
    /** A lost connection counts as a crash when a new run starts within this time: a restart takes some seconds. */
    private static final long NEW_RUN_WINDOW_NS = 8_000_000_000L;

    private static final int MAX_LOSSES = 64;

    private final Quarantine quarantine = new Quarantine();
    private final OwnLosses ownLosses = new OwnLosses();
    private final Deque<Loss> losses = new ArrayDeque<>();
    private Consumer<List<Suspicion>> publisher = suspicions -> {};

    /** Registers what to do with new suspicions and with those that a response has cleared. */
    public void onSuspicion(Consumer<List<Suspicion>> action) {
        publisher = action;
    }

    /** A connection was lost while it carried the request in the given run of the backend server. */
    void connectionLost(long fingerprint, long run, long nowNs) {
        if (losses.size() >= MAX_LOSSES) {
            losses.removeFirst();
        }
        losses.addLast(new Loss(fingerprint, run, nowNs));
    }

    void connectionRefused(long nowNs) {
        suspectLossesWithin(REFUSED_WINDOW_NS, nowNs);
    }

    void runStarted(long nowNs) {
        suspectLossesWithin(NEW_RUN_WINDOW_NS, nowNs);
    }

    void responseReceived(long fingerprint, long nowNs) {
        losses.removeIf(loss -> loss.fingerprint == fingerprint);
        quarantine.recordResponse(fingerprint, nowNs).ifPresent(cleared -> publisher.accept(List.of(cleared)));
    }

    public void suspicionsReceived(List<Suspicion> suspicions) {
        quarantine.addSuspicions(suspicions, System.nanoTime());
    }

    /**
     * Applies losses that a companion has recorded.
     *
     * @param isOwn whether an earlier process of this companion recorded them
     */
    public void lossesRead(List<RecordedLoss> recorded, boolean isOwn, long timeOfDayMs) {
        for (RecordedLoss loss : recorded) {
            if (OwnLosses.isExpired(loss, timeOfDayMs)) {
                continue;
            }
            suspicionsReceived(List.of(new Suspicion(loss.fingerprint(), loss.lostAt())));
            if (isOwn) {
                ownLosses.add(loss);
            }
        }
    }

    /** Losses that this companion found and no response has cleared, to be recorded. */
    public List<RecordedLoss> ownLosses(long timeOfDayMs) {
        return ownLosses.suspected(quarantine, System.nanoTime(), timeOfDayMs);
    }

    /** Records losses that another companion found as if they had been found here. */
    public void adopt(Suspicion suspicion, long timeOfDayMs) {
        ownLosses.add(new RecordedLoss(suspicion.fingerprint(), suspicion.lostAt(), timeOfDayMs));
    }

    /** All suspicions, for a companion that cannot read the records. */
    public List<Suspicion> suspicions() {
        return quarantine.suspicions(System.nanoTime());
    }

    public boolean isRefused(long fingerprint, long nowNs) {
        return quarantine.isRefused(fingerprint, nowNs);
    }

    private void suspectLossesWithin(long windowNs, long nowNs) {
        List<Suspicion> suspicions = new ArrayList<>();
        for (Loss loss : losses) {
            if (nowNs - loss.atNs > windowNs) {
                continue;
            }
            Incarnation run = new Incarnation(loss.run);
            quarantine.recordLoss(loss.fingerprint, run, nowNs);
            ownLosses.add(new RecordedLoss(loss.fingerprint, Set.of(run), System.currentTimeMillis()));
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
