package org.siskintiller.measure.random;

import java.util.Locale;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;

/** Injects planned faults and ends them after their duration. */
final class FaultInjector {
    private static final long MS = 1_000_000;

    private final RandomRun run;
    private long operations;

    FaultInjector(RandomRun run) {
        this.run = run;
    }

    void inject(Fault fault) {
        run.counters().add("fault " + fault.kind().name().toLowerCase(Locale.ROOT));
        run.trace("fault " + fault);
        CompanionProcess target = run.companions().get(fault.target());
        long durationNs = fault.durationMs() * MS;
        switch (fault.kind()) {
            case PAUSE -> target.pause(durationNs);
            case KILL_COMPANION -> restart(target, durationNs, false);
            case KILL_INSTANCE -> restart(target, durationNs, true);
            case GRACEFUL_STOP -> stopGracefully(target, durationNs);
            case CUT_BOTH_WAYS -> cut(target, durationNs, true, true);
            case CUT_INBOUND -> cut(target, durationNs, true, false);
            case CUT_OUTBOUND -> cut(target, durationNs, false, true);
            case CUT_FROM_LOG -> cutFromLog(target, durationNs);
            case SPLIT_DOMAIN -> splitDomain(target.failureDomain(), durationNs);
            case LOG_DOWN -> setLogMode(FakeLog.Mode.DOWN, durationNs);
            case LOG_SLOW -> setLogMode(FakeLog.Mode.SLOW, durationNs);
            case LOG_FAULTY -> setLogMode(FakeLog.Mode.FAULTY, durationNs);
            case FREEZE_SERVER -> freeze(target, durationNs);
            case CRASH_REQUEST -> target.crashServer(2 * durationNs);
            case OPERATOR_RACE -> raceOperators();
            case DRAIN_REQUEST -> drain(target);
            case LOSE_DOMAIN -> loseDomain(target.failureDomain(), durationNs);
            default -> throw new IllegalArgumentException("fault " + fault.kind() + " has no injection");
        }
    }

    private void restart(CompanionProcess target, long durationNs, boolean withServer) {
        if (!target.isRunning()) {
            return;
        }
        target.kill();
        if (withServer) {
            target.server().crash();
        }
        startLater(target, durationNs);
    }

    private void startLater(CompanionProcess target, long durationNs) {
        run.queue().after(durationNs, () -> {
            if (!target.isRunning()) {
                target.start();
            }
        });
    }

    private void stopGracefully(CompanionProcess target, long durationNs) {
        target.stopGracefully();
        startLater(target, 30_000 * MS + durationNs);
    }

    private void cut(CompanionProcess target, long durationNs, boolean inbound, boolean outbound) {
        setCuts(target, inbound, outbound, true);
        run.queue().after(durationNs, () -> setCuts(target, inbound, outbound, false));
    }

    private void setCuts(CompanionProcess target, boolean inbound, boolean outbound, boolean isCut) {
        for (CompanionProcess other : run.companions()) {
            if (other == target) {
                continue;
            }
            if (inbound) {
                run.network().setCut(other.index(), target.index(), isCut);
            }
            if (outbound) {
                run.network().setCut(target.index(), other.index(), isCut);
            }
        }
    }

    private void cutFromLog(CompanionProcess target, long durationNs) {
        target.setCutFromLog(true);
        run.queue().after(durationNs * 2, () -> target.setCutFromLog(false));
    }

    private void splitDomain(String failureDomain, long durationNs) {
        setSplit(failureDomain, true);
        run.queue().after(durationNs, () -> setSplit(failureDomain, false));
    }

    private void setSplit(String failureDomain, boolean isCut) {
        for (CompanionProcess companion : run.companions()) {
            for (CompanionProcess other : run.companions()) {
                if (companion.failureDomain().equals(failureDomain)
                        != other.failureDomain().equals(failureDomain)) {
                    run.network().setCut(companion.index(), other.index(), isCut);
                }
            }
        }
    }

    private void setLogMode(FakeLog.Mode mode, long durationNs) {
        run.log().setMode(mode);
        run.queue().after(durationNs, () -> run.log().setMode(FakeLog.Mode.UP));
    }

    /** Freezes servers that check fences. The others have no protection against a freeze in the middle of a request. */
    private void freeze(CompanionProcess target, long durationNs) {
        if (target.server().checksFence()) {
            target.server().freeze(durationNs);
        }
    }

    private void raceOperators() {
        ClusterConfig config = run.publishedConfig();
        long baseVersion = run.replayedState().configVersion();
        String preset = config.activePreset().equals("ordinary") ? "peak" : "ordinary";
        append(new LogRecord.ConfigPublished(baseVersion, config, "operator-1"));
        append(new LogRecord.PresetSwitched(baseVersion, preset, "operator-2"));
    }

    private void drain(CompanionProcess target) {
        append(new LogRecord.DrainRequested(target.incarnation(), "operator-1"));
        startLater(target, 40_000 * MS);
    }

    private void append(LogRecord record) {
        OperationId id = new OperationId(99, operations++);
        run.log().append(id, record, offset -> {}, () -> {});
    }

    private void loseDomain(String failureDomain, long durationNs) {
        for (CompanionProcess companion : run.companions()) {
            if (companion.failureDomain().equals(failureDomain)) {
                restart(companion, durationNs, true);
            }
        }
    }
}
