package org.siskintiller.ctl;

/** Names the change that came first in a race between operators. */
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

    /** Report of a change whose base is known to be outdated before anything is appended. */
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
