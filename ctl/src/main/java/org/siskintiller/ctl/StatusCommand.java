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

/** Shows the open sessions with the version in force and the lag of each. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description =
                "Shows all open sessions with the version in force and the lag of each. The list of sessions comes"
                        + " from the log, or from a companion while the log is down.")
final class StatusCommand implements Callable<Integer> {
    /** Companions are queried in parallel, since each request may take 2 s to time out. */
    private static final int MAX_PARALLEL_REQUESTS = 16;

    private static final long POLL_INTERVAL_MS = 250;
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
        long deadlineMs = env.time().nowMs() + waitMs;
        Report report = report();
        while (report.exitCode() == ExitCode.INCOMPLETE && env.time().nowMs() < deadlineMs) {
            env.time().sleepMs(POLL_INTERVAL_MS);
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
        CompanionClient.Result result = env.companionClient().get(companion, STATUS_PATH);
        if (result instanceof CompanionClient.Unreachable unreachable) {
            return Report.failure(
                    ExitCode.UNAVAILABLE,
                    "unavailable",
                    reason + (reason.isEmpty() ? "" : "; ") + "companion " + companion + ": " + unreachable.reason(),
                    "name another companion");
        }
        JsonNode body = ((CompanionClient.Response) result).body();
        long version = body.path("configVersion").asLong(0);
        long tailOffset = body.path("appliedOffset").asLong(0);
        String title = "as companion " + companion + " knows it" + (reason.isEmpty() ? "" : " (" + reason + ")");
        return describe(
                sessions(body), version, tailOffset, body.path("activePreset").asText(""), title);
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
            List<SessionStatus.SessionAddress> sessions, long version, long tailOffset, String preset, String title) {
        List<SessionStatus> statuses = fetchStatus(sessions);
        long inForce = statuses.stream()
                .filter(status -> status.configVersion() >= version)
                .count();
        boolean complete = inForce == statuses.size();
        Report report = new Report(complete ? ExitCode.OK : ExitCode.INCOMPLETE, complete ? "in-force" : "incomplete");
        report.line(title).line("preset " + preset + "; log tail at offset " + tailOffset);
        report.line("version " + version + " is in force on " + inForce + " of " + statuses.size() + " open sessions");
        report.json()
                .put("version", version)
                .put("activePreset", preset)
                .put("tailOffset", tailOffset)
                .put("openSessions", statuses.size())
                .put("inForce", inForce);
        ArrayNode list = report.json().putArray("sessions");
        for (SessionStatus status : statuses) {
            report.line("  " + line(status, tailOffset));
            SessionStatus.SessionAddress session = status.session();
            list.addObject()
                    .put("instance", session.instance())
                    .put("incarnation", session.incarnation())
                    .put("failureDomain", session.failureDomain())
                    .put("service", session.service())
                    .put("http", session.http())
                    .put("draining", session.draining())
                    .put("answered", status.hasResponded())
                    .put("configVersion", status.configVersion())
                    .put("appliedOffset", status.appliedOffset())
                    .put("lagRecords", status.hasResponded() ? Math.max(0, tailOffset - status.appliedOffset()) : -1)
                    .put("lease", status.lease())
                    .put("ownedSlots", status.ownedSlots())
                    .put("note", status.note());
        }
        return report;
    }

    private static String line(SessionStatus status, long tailOffset) {
        SessionStatus.SessionAddress session = status.session();
        String who = session.instance() + "/" + session.incarnation() + " " + session.failureDomain() + " "
                + session.service() + " " + session.http() + (session.draining() ? " draining" : "");
        if (!status.hasResponded()) {
            return who + ": no answer: " + status.note();
        }
        return who + ": version " + status.configVersion() + ", lag " + Math.max(0, tailOffset - status.appliedOffset())
                + " records, " + (status.lease() ? "lease held" : "no lease") + ", " + status.ownedSlots() + " slots"
                + (status.note().isEmpty() ? "" : ", " + status.note());
    }

    private List<SessionStatus> fetchStatus(List<SessionStatus.SessionAddress> sessions) {
        ExecutorService executor = Executors.newFixedThreadPool(MAX_PARALLEL_REQUESTS);
        try {
            List<Future<SessionStatus>> pending = new ArrayList<>();
            for (SessionStatus.SessionAddress session : sessions) {
                pending.add(executor.submit(() -> fetchStatus(session)));
            }
            List<SessionStatus> statuses = new ArrayList<>();
            for (Future<SessionStatus> future : pending) {
                statuses.add(future.get());
            }
            statuses.sort(Comparator.comparing(
                            (SessionStatus status) -> status.session().service())
                    .thenComparing(status -> status.session().instance()));
            return statuses;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the status of companions", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a status request to a companion failed", e.getCause());
        } finally {
            executor.shutdownNow();
        }
    }

    private SessionStatus fetchStatus(SessionStatus.SessionAddress session) {
        try {
            Address address = new AddressConverter().convert(session.http());
            return SessionStatus.of(session, env.companionClient().get(address, STATUS_PATH));
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
        for (JsonNode entry : body.path("sessions")) {
            sessions.add(new SessionStatus.SessionAddress(
                    entry.path("instance").asText("-"),
                    entry.path("incarnation").asText("-"),
                    entry.path("failureDomain").asText("-"),
                    entry.path("service").asText("-"),
                    entry.path("http").asText("-"),
                    entry.path("draining").asBoolean(false)));
        }
        return sessions;
    }
}
