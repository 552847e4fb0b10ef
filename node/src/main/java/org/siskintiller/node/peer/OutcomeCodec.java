package org.siskintiller.node.peer;

import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.wire.proto.Proto;

/** Maps outcomes of stream resets. */
final class Outcomes {

    private Outcomes() {}

    static Proto.StreamReset.Outcome toProto(Outcome outcome) {
        switch (outcome) {
            case NOT_RUN:
                return Proto.StreamReset.Outcome.NOT_RUN;
            case RAN:
                return Proto.StreamReset.Outcome.RAN;
            default:
                return Proto.StreamReset.Outcome.UNKNOWN;
        }
    }

    static Outcome fromProto(Proto.StreamReset.Outcome outcome) {
        switch (outcome) {
            case NOT_RUN:
                return Outcome.NOT_RUN;
            case RAN:
                return Outcome.RAN;
            default:
                return Outcome.UNKNOWN;
        }
    }
}
