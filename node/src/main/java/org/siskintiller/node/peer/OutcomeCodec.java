package org.siskintiller.node.peer;

import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.wire.proto.Proto;

/** Converts the outcome of a stream reset to and from its protobuf value. */
final class OutcomeCodec {

    private OutcomeCodec() {}

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
