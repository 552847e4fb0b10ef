package org.siskintiller.ctl;

import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.replay.ClusterState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Removes a customer and proves that its traffic has stopped. */
@Command(
        name = "depart",
        mixinStandardHelpOptions = true,
        description = "Removes a customer, waits for the confirmations of all sessions and prints the proof that its"
                + " traffic has stopped. Repeat the command to go on after an interruption.")
final class DepartCommand extends LogCommand {
    /** The configuration may change between reading and appending; the removal is then appended again. */
    private static final int MAX_REMOVAL_ATTEMPTS = 5;

    private static final long POLL_INTERVAL_MS = 500;

    @Mixin
    private OperatorOption operator;

    @Option(
            names = "--wait-ms",
            paramLabel = "MS",
            defaultValue = "30000",
            description = "Longest wait for confirmations in ms. Default: 30000.")
    private long waitMs;

    @Option(names = "--unlisted", description = "Remove a customer that the configuration does not list.")
    private boolean unlisted;

    @Parameters(paramLabel = "CUSTOMER", description = "Name of the customer.")
    private String customer;

    private DepartureCheck check;

    DepartCommand(Environment env) {
        super(env);
    }

    @Override
    void prepare(ControlAccess access) {
        check = new DepartureCheck(customer, access.names());
        access.stream().addVisitor(check);
    }

    @Override
    Report run(ControlAccess access) {
        if (access.state().removedCustomer(customer).isEmpty()) {
            if (!unlisted && !isListed(access.state())) {
                return Report.failure(
                        ExitCode.REFUSED,
                        "not-found",
                        "customer '" + customer + "' is not in the configuration",
                        "check the name, or add --unlisted to remove a customer that is served without an entry");
            }
            Submission removal = remove(access);
            if (!(removal instanceof Submission.Applied)
                    && access.state().removedCustomer(customer).isEmpty()) {
                return SubmissionReports.of(removal, "removal of " + customer, "try again", access);
            }
        }
        return prove(access);
    }

    private boolean isListed(ClusterState state) {
        return state.config().customers().stream()
                .anyMatch(entry -> entry.name().equals(customer));
    }

    private Submission remove(ControlAccess access) {
        Submission submission = null;
        for (int attempt = 1; attempt <= MAX_REMOVAL_ATTEMPTS; attempt++) {
            long version = access.state().configVersion();
            submission =
                    access.submitter().submit(new LogRecord.CustomerRemoved(version, customer, operator.operator()));
            boolean outdated = submission instanceof Submission.NoEffect
                    && access.state().removedCustomer(customer).isEmpty();
            if (!outdated) {
                return submission;
            }
        }
        return submission;
    }

    private Report prove(ControlAccess access) {
        long deadlineMs = env().time().nowMs() + waitMs;
        while (true) {
            Progress progress = access.stream().readToTail(0);
            Optional<DepartureFindings> findings = check.evaluate(access.state());
            boolean atTail = progress instanceof Progress.AtTail;
            if (atTail && findings.isEmpty()) {
                return Report.failure(
                        ExitCode.CONFLICT,
                        "conflict",
                        "customer " + customer + " was published again while its departure was checked",
                        "settle with the other operator, then repeat the command");
            }
            if (atTail && findings.get().proof().isComplete()) {
                return reportProved(access, findings.get());
            }
            long remainingMs = deadlineMs - env().time().nowMs();
            if (remainingMs <= 0) {
                return reportNotProved(findings, progress);
            }
            long pollMs = Math.min(remainingMs, POLL_INTERVAL_MS);
            if (access.stream().readToTail(pollMs) instanceof Progress.Unavailable) {
                env().time().sleepMs(pollMs);
            }
        }
    }

    private Report reportProved(ControlAccess access, DepartureFindings findings) {
        Submission submission = access.submitter().submit(findings.proof().toRecord(operator.operator()));
        Report report = new Report(ExitCode.OK, "proved")
                .line("customer " + customer + " has departed: removed at offset "
                        + findings.proof().removalOffset() + "; all "
                        + findings.findings().size() + " sessions open at or after it have confirmed or ended:");
        addFindings(report, findings);
        if (submission instanceof Submission.Applied applied) {
            report.json().put("proofOffset", applied.offset());
            return report.line("recorded at offset " + applied.offset());
        }
        Report recording = SubmissionReports.of(submission, "record of the proof", "repeat the command", access);
        report.json().set("recording", recording.json());
        return report.replaceOutcome(recording.exitCode(), "proved-not-recorded")
                .line("the proof holds, but its record is missing or unknown; repeat the command to record it");
    }

    private Report reportNotProved(Optional<DepartureFindings> findings, Progress progress) {
        Report report = new Report(ExitCode.NOT_PROVED, "not-proved");
        report.line("no proof: the departure of " + customer + " is not complete");
        findings.ifPresent(incomplete -> {
            report.line("removed at offset " + incomplete.proof().removalOffset() + "; missing are "
                    + incomplete.proof().missing().size() + " of "
                    + incomplete.findings().size() + " sessions:");
            addFindings(report, incomplete);
        });
        if (progress instanceof Progress.Unavailable unavailable) {
            report.line("the log cannot be read: " + unavailable.reason());
        }
        return report.line("look after the missing sessions, then repeat the command");
    }

    private void addFindings(Report report, DepartureFindings findings) {
        report.json()
                .put("customer", customer)
                .put("removalOffset", findings.proof().removalOffset());
        ArrayNode list = report.json().putArray("sessions");
        for (DepartureFindings.Finding finding : findings.findings()) {
            String at = finding.offset() < 0 ? "" : " at offset " + finding.offset();
            report.line("  " + finding.name() + " (" + finding.service() + "): "
                    + finding.kind().label() + at);
            list.addObject()
                    .put("session", finding.name())
                    .put("service", finding.service())
                    .put("evidence", finding.kind().name().toLowerCase(Locale.ROOT))
                    .put("offset", finding.offset());
        }
    }
}
