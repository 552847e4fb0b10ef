package org.siskintiller.ctl;

/** Reports the change that was applied first when operators make conflicting changes. */
final class ConflictReports {

    private ConflictReports() {}

    static void addWinner(Report report, ControlAccess access) {
        long version = access.state().configVersion();
        report.json().put("currentVersion", version);
        access.history().changeTo(version).ifPresent(change -> {
            report.line("in force is " + change);
            report.json()
                    .put("winner", change.operator())
                    .put("winnerOffset", change.offset())
                    .put("winnerChange", change.what());
        });
    }

    /** Report of a change that is not appended, since its base is outdated. */
    static Report outdatedBase(long base, ControlAccess access, String afterConflict) {
        Report report = Report.failure(
                ExitCode.CONFLICT,
                "conflict",
                "conflict: the change builds on version " + base + ", but version "
                        + access.state().configVersion() + " is in force; nothing was appended",
                afterConflict);
        addWinner(report, access);
        return report;
    }
}
