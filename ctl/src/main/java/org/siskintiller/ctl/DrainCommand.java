package org.siskintiller.ctl;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Requests the drain of sessions, so that their slots move to others. */
@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description = "Takes a backend server out of service: no new work, its slots move, running requests finish.")
final class DrainCommand extends LogCommand {
    private static final long POLL_INTERVAL_MS = 500;

    @Mixin
    private OperatorOption operator;

    @Option(
            names = "--wait-ms",
            paramLabel = "MS",
            defaultValue = "0",
            description = "Wait at most this time in ms until no slot is assigned to the sessions. Default: 0.")
    private long waitMs;

    @Parameters(
            paramLabel = "INSTANCE",
            description = "Instance name, incarnation, or address of the companion or backend server.")
    private String target;

    DrainCommand(Environment env) {
        super(env);
    }

    @Override
    Report run(ControlAccess access) {
        List<Session> sessions = matchingSessions(access.state());
        if (sessions.isEmpty()) {
            return Report.failure(
                    ExitCode.REFUSED,
                    "not-found",
                    "no open session matches '" + target + "'",
                    "list the open sessions with 'siskinctl status'");
        }
        Report report = new Report(ExitCode.OK, "applied");
        ArrayNode drainedSessions = report.json().putArray("sessions");
        for (Session session : sessions) {
            if (!session.draining()) {
                Submission submission = access.submitter()
                        .submit(new LogRecord.DrainRequested(session.incarnation(), operator.operator()));
                if (!(submission instanceof Submission.Applied)) {
                    return SubmissionReports.of(submission, "drain request of " + name(session), "try again", access);
                }
            }
            report.line((session.draining() ? "already draining: " : "draining: ") + name(session));
            drainedSessions
                    .addObject()
                    .put("instance", session.instance())
                    .put("incarnation", session.incarnation().toString())
                    .put("alreadyDraining", session.draining());
        }
        return waitMs > 0 ? awaitReassignment(access, sessions, report) : report;
    }

    private Report awaitReassignment(ControlAccess access, List<Session> sessions, Report report) {
        long deadlineMs = env().time().nowMs() + waitMs;
        while (true) {
            int remainingSlots = 0;
            for (Session session : sessions) {
                remainingSlots += countOwnedSlots(access.state(), session.incarnation());
            }
            long remainingMs = deadlineMs - env().time().nowMs();
            if (remainingSlots == 0 || remainingMs <= 0) {
                report.json().put("slotsLeft", remainingSlots);
                if (remainingSlots > 0) {
                    report.replaceOutcome(ExitCode.INCOMPLETE, "incomplete");
                }
                return report.line(remainingSlots + " slots left after the wait");
            }
            if (access.stream().readToTail(Math.min(remainingMs, POLL_INTERVAL_MS)) instanceof Progress.Unavailable) {
                env().time().sleepMs(Math.min(remainingMs, POLL_INTERVAL_MS));
            }
        }
    }

    private static int countOwnedSlots(ClusterState state, Incarnation incarnation) {
        if (!state.isOpen(incarnation)) {
            return 0;
        }
        int[] owned = {0};
        state.forEachAssignment((slot, assignment) -> {
            if (assignment.candidates().indexOf(incarnation) == 0) {
                owned[0]++;
            }
        });
        return owned[0];
    }

    private List<Session> matchingSessions(ClusterState state) {
        List<Session> sessions = new ArrayList<>();
        state.forEachOpenSession(session -> {
            if (session.instance().equals(target)
                    || session.incarnation().toString().equals(target)
                    || session.httpAddress().toString().equals(target)
                    || session.backendServer().address().toString().equals(target)) {
                sessions.add(session);
            }
        });
        return sessions;
    }

    private static String name(Session session) {
        return session.instance() + "/" + session.incarnation();
    }
}
