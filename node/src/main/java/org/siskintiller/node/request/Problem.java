package org.siskintiller.node.request;

import java.util.Objects;

import org.siskintiller.core.gate.GateDecision.Refusal;
import org.siskintiller.core.gate.RefusalKind.Outcome;

/**
 * Error response to a caller (RFC 9457).
 *
 * @param type short name of the kind of error
 * @param outcome whether the request ran, as far as it is known
 * @param retryAfterMs minimum delay before a retry, 0 if there is none
 */
public record Problem(int status, String type, String detail, Outcome outcome, String remedy, long retryAfterMs) {

    public Problem {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(remedy, "remedy");
    }

    /** Returns a problem of a request that was not run. */
    public static Problem notRun(int status, String type, String detail, String remedy) {
        return new Problem(status, type, detail, Outcome.NOT_RUN, remedy, 0);
    }

    /** Returns the problem for a refusal of the gate. */
    public static Problem of(Refusal refusal) {
        String type = refusal.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        return new Problem(
                refusal.kind().status(),
                type,
                refusal.detail(),
                refusal.kind().outcome(),
                refusal.kind().remedy(),
                refusal.retryAfterMs());
    }
}
