package org.siskintiller.ctl;

/** Exit codes of the tool. */
public final class ExitCode {
    /** The command succeeded. */
    public static final int OK = 0;
    /** Internal error of the tool. */
    public static final int INTERNAL = 1;
    /** The command line is wrong. */
    public static final int USAGE = 2;
    /** The file or request is invalid; nothing was appended. */
    public static final int INVALID = 3;
    /** Another operator's change was applied first; this one has no effect. */
    public static final int CONFLICT = 4;
    /** The log or the companion cannot be reached; nothing was changed. */
    public static final int UNAVAILABLE = 5;
    /** It is unknown whether the record takes effect. */
    public static final int UNKNOWN = 6;
    /** The named object does not exist, or the record was refused by the rules of replay. */
    public static final int REFUSED = 7;
    /** Confirmations are missing, so no departure is proved. */
    public static final int NOT_PROVED = 8;
    /** The change is in the log, but the wait ended before all open sessions had applied it. */
    public static final int INCOMPLETE = 9;

    private ExitCode() {}
}
