package org.siskintiller.ctl;

import java.util.concurrent.Callable;

import picocli.CommandLine.Mixin;

/** Command that replays the control stream before it runs. */
abstract class LogCommand implements Callable<Integer> {
    private final Environment env;

    @Mixin
    private OutputOptions output;

    @Mixin
    private LogOptions log;

    LogCommand(Environment env) {
        this.env = env;
    }

    @Override
    public final Integer call() {
        ControlAccess access = new ControlAccess(env, log.address());
        prepare(access);
        Progress progress = access.stream().readToTail(0);
        Report report = progress instanceof Progress.Unavailable unavailable
                ? reportUnavailable(unavailable.reason())
                : run(access);
        report.print(output.json(), env.out(), env.err());
        return report.exitCode();
    }

    /** Runs with the state at the tail of the log. */
    abstract Report run(ControlAccess access);

    /** Adds visitors before the records are read. */
    void prepare(ControlAccess access) {}

    Report reportUnavailable(String reason) {
        return Report.failure(
                ExitCode.UNAVAILABLE,
                "unavailable",
                "the log service at " + log.address() + " cannot be read: " + reason,
                "nothing was changed; check the address and try again");
    }

    Environment env() {
        return env;
    }
}
