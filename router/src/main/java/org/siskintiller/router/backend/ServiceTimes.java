package org.siskintiller.router.backend;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.siskintiller.core.admission.MovingMean;
import org.siskintiller.core.admission.RemainingTimeCheck;
import org.siskintiller.core.balance.MachineSpeed;

/** Times that requests wait in front of the backend server and run on it. */
final class ServiceTimes {
    /** A request does not wait for a grant when less than this share of the mean service time remains. */
    private static final double MIN_SERVICE_TIME_SHARE = 0.5;

    private final RemainingTimeCheck remainingTime = new RemainingTimeCheck();
    /** Without the phases in which the machine is slower or faster than usual. */
    private final MovingMean meanNs = new MovingMean(0);

    private final MachineSpeed machine = new MachineSpeed();
    private final Timer waitTimer;
    private final Timer serviceTimer;

    ServiceTimes(MetricRegistry metrics) {
        this.waitTimer = metrics.timer("gate.wait");
        this.serviceTimer = metrics.timer("gate.service");
    }

    void waited(long waitNs) {
        waitTimer.update(waitNs, TimeUnit.NANOSECONDS);
    }

    /** Processes the present duration of work on the machine, in percent of the usual one. */
    void workReported(int percent, long nowNs) {
        machine.reported(percent, nowNs);
    }

    int workPercent(long nowNs) {
        return machine.percent(nowNs);
    }

    void served(GateCall call, long serviceNs, boolean success, long nowNs) {
        if (success) {
            meanNs.add(serviceNs / machine.factor(nowNs));
            remainingTime.served(GateSettings.kind(call.request()), serviceNs);
        }
        serviceTimer.update(serviceNs, TimeUnit.NANOSECONDS);
    }

    /** Mean time in execution of successful requests. */
    double meanNs() {
        return meanNs.mean();
    }

    /** Minimum remaining time of a request that waits for the grant of its key. */
    double minGrantedNs() {
        return meanNs.mean() * MIN_SERVICE_TIME_SHARE;
    }

    /** Whether the remaining time of a queued call suffices to keep it in the queue. */
    boolean allowWait(GateCall call, boolean othersWait, long nowNs) {
        return remainingTime.mayWait(
                GateSettings.kind(call.request()), call.request().deadlineNs() - nowNs, othersWait);
    }

    /** Whether the remaining time of a call suffices to start it. */
    boolean suffice(GateCall call, boolean othersWait, long nowNs) {
        double remainingNs = (call.request().deadlineNs() - nowNs) / machine.factor(nowNs);
        return remainingTime.suffices(GateSettings.kind(call.request()), (long) remainingNs, othersWait);
    }
}
