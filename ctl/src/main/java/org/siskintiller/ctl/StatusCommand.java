package org.siskintiller.ctl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Session;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;

/** Shows the open sessions, the version in force at each, and how far each is behind. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description =
                "Shows all open sessions with the version in force and the lag of each. The list of sessions comes"
                        + " from the log, or from a companion while the log is down.")
final class StatusCommand implements Callable<Integer> {
    /** Companions asked at the same time; each may take 2 s to fail. */
    private static final int PARALLEL_REQUESTS = 16;

    private static final long POLL_MS = 250;
    private static final String STATUS_PATH = "/_siskin/status";

    private final Environment env;

    @Spec
    private CommandSpec spec;

    @Mixin
    private OutputOptions output;

    @Option(
            names = "--log",
            paramLabel = "HOST:PORT",
            defaultValue = "${env:SISKIN_LOG}",
            description = "Address of the log service. Default: environment variable SISKIN_LOG.")
    private Address log;

    @Option(
            names = "--companion",
            paramLabel = "HOST:PORT",
            defaultValue = "${env:SISKIN_COMPANION}",
            description = "Companion to ask for the sessions when the log cannot be read. Default: environment variable"
                    + " SISKIN_COMPANION.")
    private Address companion;

    @Option(
            names = "--wait-ms",
            paramLabel = "MS",
            defaultValue = "0",
            description = "Wait at most this time in ms until all sessions have the version in force. Default: 0.")
    private long waitMs;

    StatusCommand(Environment env) {
        this.env = env;
    }

    @Override
    public Integer call() {
        if (log == null && companion == null) {
            throw new ParameterException(spec.commandLine(), "give --log, --companion or both");
        }
        long deadline = env.time().nowMs() + waitMs;
        Report report = report();
        while (report.exitCode() == ExitCode.INCOMPLETE && env.time().nowMs() < deadline) {
            env.time().sleepMs(POLL_MS);
            report = report();
        }
        report.print(output.json(), env.out(), env.err());
        return report.exitCode();
    }

    private Report report() {
        String reason = "";
        if (log != null) {
            ControlAccess access = new ControlAccess(env, log);
            Progress progress = access.stream().readToTail(0);
            if (progress instanceof Progress.AtTail) {
                return fromLog(access);
            }
            reason = "the log service at " + log + " cannot be read: " + ((Progress.Unavailable) progress).reason();
        }
        if (companion == null) {
            return Report.failure(
                    ExitCode.UNAVAILABLE, "unavailable", reason, "try again, or name a companion with --companion");
        }
        CompanionClient.Reply reply = env.companions().get(companion, STATUS_PATH);
        if (reply instanceof CompanionClient.Unreachable unreachable) {
            return Report.failure(
                    ExitCode.UNAVAILABLE,
                    "unavailable",
                    reason + (reason.isEmpty() ? "" : "; ") + "companion " + companion + ": " + unreachable.reason(),
                    "name another companion");
        }
        JsonNode body = ((CompanionClient.Answered) reply).body();
        long version = body.path("configVersion").asLong(0);
        long tail = body.path("appliedOffset").asLong(0);
        String title = "as companion " + companion + " knows it" + (reason.isEmpty() ? "" : " (" + reason + ")");
        return describe(sessions(body), version, tail, body.path("activePreset").asText(""), title);
    }

    private Report fromLog(ControlAccess access) {
        List<SessionStatus.SessionAddress> sessions = new ArrayList<>();
        access.state().forEachOpenSession(session -> sessions.add(address(session)));
        long version = access.state().configVersion();
        String title = access.history()
                .changeTo(version)
                .map(ConfigHistory.Change::toString)
                .orElse("version " + version);
        String preset = access.state().config().activePreset();
        return describe(sessions, version, access.stream().nextOffset() - 1, preset, title);
    }

    private Report describe(
            List<SessionStatus.SessionAddress> sessions, long version, long tail, String preset, String title) {
        List<SessionStatus> all = ask(sessions);
        long inForce =
                all.stream().filter(each -> each.configVersion() >= version).count();
        boolean complete = inForce == all.size();
        Report report = new Report(complete ? ExitCode.OK : ExitCode.INCOMPLETE, complete ? "in-force" : "incomplete");
        report.line(title).line("preset " + preset + "; log tail at offset " + tail);
        report.line("version " + version + " is in force on " + inForce + " of " + all.size() + " open sessions");
        report.json()
                .put("version", version)
                .put("activePreset", preset)
                .put("tailOffset", tail)
                .put("openSessions", all.size())
                .put("inForce", inForce);
        ArrayNode list = report.json().putArray("sessions");
        for (SessionStatus each : all) {
            report.line("  " + line(each, tail));
            SessionStatus.SessionAddress session = each.session();
            list.addObject()
                    .put("instance", session.instance())
                    .put("incarnation", session.incarnation())
                    .put("failureDomain", session.failureDomain())
                    .put("service", session.service())
                    .put("http", session.http())
                    .put("draining", session.draining())
                    .put("answered", each.answered())
                    .put("configVersion", each.configVersion())
                    .put("appliedOffset", each.appliedOffset())
                    .put("lagRecords", each.answered() ? Math.max(0, tail - each.appliedOffset()) : -1)
                    .put("lease", each.lease())
                    .put("ownedSlots", each.ownedSlots())
                    .put("note", each.note());
        }
        return report;
    }

    private static String line(SessionStatus status, long tail) {
        SessionStatus.SessionAddress session = status.session();
        String who = session.instance() + "/" + session.incarnation() + " " + session.failureDomain() + " "
                + session.service() + " " + session.http() + (session.draining() ? " draining" : "");
        if (!status.answered()) {
            return who + ": no answer: " + status.note();
        }
        return who + ": version " + status.configVersion() + ", lag " + Math.max(0, tail - status.appliedOffset())
                + " records, " + (status.lease() ? "lease held" : "no lease") + ", " + status.ownedSlots() + " slots"
                + (status.note().isEmpty() ? "" : ", " + status.note());
    }

    private List<SessionStatus> ask(List<SessionStatus.SessionAddress> sessions) {
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_REQUESTS);
        try {
            List<Future<SessionStatus>> pending = new ArrayList<>();
            for (SessionStatus.SessionAddress session : sessions) {
                pending.add(executor.submit(() -> ask(session)));
            }
            List<SessionStatus> all = new ArrayList<>();
            for (Future<SessionStatus> each : pending) {
                all.add(each.get());
            }
            all.sort(Comparator.comparing((SessionStatus each) -> each.session().service())
                    .thenComparing(each -> each.session().instance()));
            return all;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while companions were asked", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("asking a companion failed", e.getCause());
        } finally {
            executor.shutdownNow();
        }
    }

    private SessionStatus ask(SessionStatus.SessionAddress session) {
        try {
            Address address = new AddressConverter().convert(session.http());
            return SessionStatus.of(session, env.companions().get(address, STATUS_PATH));
        } catch (TypeConversionException e) {
            return SessionStatus.of(session, new CompanionClient.Unreachable(e.getMessage()));
        }
    }

    private static SessionStatus.SessionAddress address(Session session) {
        return new SessionStatus.SessionAddress(
                session.instance(),
                session.incarnation().toString(),
                session.failureDomain(),
                session.backendServer().service(),
                session.httpAddress().toString(),
                session.draining());
    }

    private static List<SessionStatus.SessionAddress> sessions(JsonNode body) {
        List<SessionStatus.SessionAddress> sessions = new ArrayList<>();
        for (JsonNode each : body.path("sessions")) {
            sessions.add(new SessionStatus.SessionAddress(
                    each.path("instance").asText("-"),
                    each.path("incarnation").asText("-"),
                    each.path("failureDomain").asText("-"),
                    each.path("service").asText("-"),
                    each.path("http").asText("-"),
                    each.path("draining").asBoolean(false)));
        }
        return sessions;
    }
}
