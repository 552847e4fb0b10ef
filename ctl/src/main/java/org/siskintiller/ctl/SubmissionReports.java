package org.siskintiller.ctl;

import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.replay.Outcome;

/** Creates reports of the outcome of an appended record. */
final class SubmissionReports {

    private SubmissionReports() {}

    /**
     * Creates the report of a submission.
     *
     * @param subject noun for the appended change
     * @param afterConflict remedy when another change was applied first
     */
    static Report of(Submission submission, String subject, String afterConflict, ControlAccess access) {
        if (submission instanceof Submission.Applied applied) {
            Report report =
                    new Report(ExitCode.OK, "applied").line(subject + " took effect at offset " + applied.offset());
            return identified(report, applied.operationId(), applied.offset());
        }
        if (submission instanceof Submission.NoEffect noEffect) {
            return identified(
                    noEffect(noEffect, subject, afterConflict, access), noEffect.operationId(), noEffect.offset());
        }
        if (submission instanceof Submission.NotStored notStored) {
            return Report.failure(
                    ExitCode.UNAVAILABLE,
                    "not-stored",
                    "the log refused the " + subject + ": " + notStored.reason(),
                    "nothing was changed; try again");
        }
        return unknown((Submission.Unknown) submission, subject);
    }

    private static Report noEffect(
            Submission.NoEffect noEffect, String subject, String afterConflict, ControlAccess access) {
        Outcome.Void cause = noEffect.cause();
        if (cause.reason() != Outcome.Reason.STALE_VERSION) {
            return Report.failure(
                    ExitCode.REFUSED,
                    "refused",
                    "the " + subject + " has no effect: " + cause.detail(),
                    "correct it and try again");
        }
        Report report = Report.failure(
                ExitCode.CONFLICT,
                "conflict",
                "conflict: the " + subject + " has no effect, since another change came first",
                afterConflict);
        ConflictReports.addWinner(report, access);
        return report;
    }

    private static Report unknown(Submission.Unknown unknown, String subject) {
        String lookAgain = "siskinctl audit --operation " + unknown.operationId();
        Report report = Report.failure(
                ExitCode.UNKNOWN,
                "unknown",
                "unknown whether the " + subject + " took effect: " + unknown.reason(),
                "look again with: " + lookAgain);
        report.json()
                .put("operationId", unknown.operationId().toString())
                .put("searchedThrough", unknown.searchedThrough() - 1)
                .put("lookAgain", lookAgain);
        return report;
    }

    private static Report identified(Report report, OperationId id, long offset) {
        report.json().put("operationId", id.toString()).put("offset", offset);
        return report;
    }
}
