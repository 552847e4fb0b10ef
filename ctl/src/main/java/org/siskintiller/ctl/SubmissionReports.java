package org.siskintiller.ctl;

import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.replay.Outcome;

/** Explains what became of an appended record. */
final class SubmissionReports {

    private SubmissionReports() {}

    /**
     * Explains a submission.
     *
     * @param what what was appended, as a noun
     * @param afterConflict what to do when another change came first
     */
    static Report of(Submission submission, String what, String afterConflict, ControlAccess access) {
        if (submission instanceof Submission.Applied applied) {
            Report report =
                    new Report(ExitCode.OK, "applied").line(what + " took effect at offset " + applied.offset());
            return identified(report, applied.operationId(), applied.offset());
        }
        if (submission instanceof Submission.NoEffect noEffect) {
            return identified(
                    noEffect(noEffect, what, afterConflict, access), noEffect.operationId(), noEffect.offset());
        }
        if (submission instanceof Submission.NotStored notStored) {
            return Report.failure(
                    ExitCode.UNAVAILABLE,
                    "not-stored",
                    "the log refused the " + what + ": " + notStored.reason(),
                    "nothing was changed; try again");
        }
        return unknown((Submission.Unknown) submission, what);
    }

    private static Report noEffect(
            Submission.NoEffect noEffect, String what, String afterConflict, ControlAccess access) {
        Outcome.Void cause = noEffect.cause();
        if (cause.reason() != Outcome.Reason.STALE_VERSION) {
            return Report.failure(
                    ExitCode.REFUSED,
                    "refused",
                    "the " + what + " has no effect: " + cause.detail(),
                    "correct it and try again");
        }
        Report report = Report.failure(
                ExitCode.CONFLICT,
                "conflict",
                "conflict: the " + what + " has no effect, since another change came first",
                afterConflict);
        ConflictReports.addWinner(report, access);
        return report;
    }

    private static Report unknown(Submission.Unknown unknown, String what) {
        String lookAgain = "siskinctl audit --operation " + unknown.operationId();
        Report report = Report.failure(
                ExitCode.UNKNOWN,
                "unknown",
                "unknown whether the " + what + " took effect: " + unknown.reason(),
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
