package org.siskintiller.router.backend;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.siskintiller.core.admission.Admission;
import org.siskintiller.core.admission.AdmissionResult;
import org.siskintiller.core.admission.RankLoad;
import org.siskintiller.core.coldstart.ColdStartLimit;
import org.siskintiller.core.path.BackendPresence.Announcement;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Applies the limit of a cold backend server to the queue in front of it. */
final class ColdGate {
    private final EventLoop loop;
    private final ColdStartLimit limit;
    private final Runnable dispatcher;
    private final Counter refusals;
    private boolean dispatchScheduled;

    /** Creates the limit of a queue. The dispatcher sends its requests as far as the limit allows. */
    ColdGate(EventLoop loop, ColdStartLimit limit, Runnable dispatcher, MetricRegistry metrics) {
        this.loop = loop;
        this.limit = limit;
        this.dispatcher = dispatcher;
        this.refusals = metrics.counter("gate.cold_refusals");
        metrics.gauge("gate.cold", () -> () -> limit.cold() ? 1 : 0);
    }

    /** Applies a heartbeat and returns whether it changes what the backend server may receive. */
    boolean announced(Announcement announcement) {
        boolean wasCold = limit.cold();
        limit.heartbeat(announcement.coldMs());
        if (limit.cold() == wasCold) {
            return false;
        }
        log(announcement.id(), announcement.coldMs(), "heartbeat");
        return true;
    }

    void evacuationEnded() {
        boolean wasCold = limit.cold();
        limit.evacuationEnded();
        if (limit.cold() && !wasCold) {
            log("", 0, "end of an evacuation");
        }
    }

    /** Returns the refusal of a call that the limit lets start too late for its place in the queue, or nothing. */
    Optional<AdmissionResult<GateCall>> refusal(
            GateCall call, Admission<GateCall> admission, double serviceNs, long nowNs) {
        if (!limit.limited()) {
            return Optional.empty();
        }
        long expectedNs = limit.expectedSendNs(waitingBefore(call, admission.load(nowNs)), nowNs);
        if (expectedNs + serviceNs <= call.deadlineNs()) {
            return Optional.empty();
        }
        refusals.inc();
        long retryAfterMs = Math.max(1, TimeUnit.NANOSECONDS.toMillis(expectedNs - nowNs));
        return Optional.of(new AdmissionResult.TooLate<>("the backend server is cold", retryAfterMs));
    }

    /** Whether a request may be taken from the queue now. If not, the dispatcher runs when it may. */
    boolean mayDispatch(long nowNs) {
        long delayNs = limit.nextDispatchNs(nowNs) - nowNs;
        if (delayNs <= 0) {
            return true;
        }
        if (!dispatchScheduled) {
            dispatchScheduled = true;
            loop.schedule(
                    () -> {
                        dispatchScheduled = false;
                        dispatcher.run();
                    },
                    delayNs,
                    TimeUnit.NANOSECONDS);
        }
        return false;
    }

    /** Requests of the same rank and of more urgent ones; the ranks are in the order of their urgency. */
    private static int waitingBefore(GateCall call, Iterable<RankLoad> ranks) {
        int waiting = 0;
        for (RankLoad rank : ranks) {
            waiting += rank.queued();
            if (rank.rank().equals(call.rank())) {
                break;
            }
        }
        return waiting;
    }

    private void log(String backend, long coldMs, String cause) {
        EventLog.log(
                LogEvent.BACKEND_COLD, "backend", backend, "cold", limit.cold(), "cold_ms", coldMs, "cause", cause);
    }
}
