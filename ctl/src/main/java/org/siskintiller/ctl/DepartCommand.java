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
    /** The configuration may change between reading and appending; a removal is still meant after such a change. */
    private static final int REMOVAL_ATTEMPTS = 5;

    private static final long POLL_MS = 500;

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
            if (!unlisted && !listed(access.state())) {
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

    private boolean listed(ClusterState state) {
        return state.config().customers().stream().anyMatch(each -> each.name().equals(customer));
    }

    private Submission remove(ControlAccess access) {
        Submission submission = null;
        for (int attempt = 1; attempt <= REMOVAL_ATTEMPTS; attempt++) {
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
        long deadline = env().time().nowMs() + waitMs;
        while (true) {
            Progress progress = access.stream().readToTail(0);
            Optional<DepartureFindings> proof = check.evaluate(access.state());
            boolean atTail = progress instanceof Progress.AtTail;
            if (atTail && proof.isEmpty()) {
                return Report.failure(
                        ExitCode.CONFLICT,
                        "conflict",
                        "customer " + customer + " was published again while its departure was checked",
                        "settle with the other operator, then repeat the command");
            }
            if (atTail && proof.get().proof().isComplete()) {
                return proved(access, proof.get());
            }
            long remaining = deadline - env().time().nowMs();
            if (remaining <= 0) {
                return notProved(proof, progress);
            }
            long wait = Math.min(remaining, POLL_MS);
            if (access.stream().readToTail(wait) instanceof Progress.Unavailable) {
                env().time().sleepMs(wait);
            }
        }
    }

    private Report proved(ControlAccess access, DepartureFindings found) {
        Submission submission = access.submitter().submit(found.proof().toRecord(operator.operator()));
        Report report = new Report(ExitCode.OK, "proved")
                .line("customer " + customer + " has departed: removed at offset "
                        + found.proof().removalOffset() + "; all "
                        + found.findings().size() + " sessions open at or after it have confirmed or ended:");
        addFindings(report, found);
        if (submission instanceof Submission.Applied applied) {
            report.json().put("proofOffset", applied.offset());
            return report.line("recorded at offset " + applied.offset());
        }
        Report recording = SubmissionReports.of(submission, "record of the proof", "repeat the command", access);
        report.json().set("recording", recording.json());
        return report.change(recording.exitCode(), "proved-not-recorded")
                .line("the proof holds, but its record is missing or unknown; repeat the command to record it");
    }

    private Report notProved(Optional<DepartureFindings> proof, Progress progress) {
        Report report = new Report(ExitCode.NOT_PROVED, "not-proved");
        report.line("no proof: the departure of " + customer + " is not complete");
        proof.ifPresent(each -> {
            report.line("removed at offset " + each.proof().removalOffset() + "; missing are "
                    + each.proof().missing().size() + " of " + each.findings().size() + " sessions:");
            addFindings(report, each);
        });
        if (progress instanceof Progress.Unavailable unavailable) {
            report.line("the log cannot be read: " + unavailable.reason());
        }
        return report.line("look after the missing sessions, then repeat the command");
    }

    private void addFindings(Report report, DepartureFindings found) {
        report.json()
                .put("customer", customer)
                .put("removalOffset", found.proof().removalOffset());
        ArrayNode list = report.json().putArray("sessions");
        for (DepartureFindings.Finding finding : found.findings()) {
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
