package org.siskintiller.router.peer;

import java.util.Objects;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/**
 * Process of a companion, as it introduces itself at the beginning of a connection.
 *
 * @param process number that tells the processes of the instance apart
 */
public record PeerIdentity(String instance, Incarnation process) {
    private static final Incarnation NONE = new Incarnation(0);

    public PeerIdentity {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(process, "process");
    }

    static PeerIdentity of(CompanionProto.Hello hello) {
        return new PeerIdentity(hello.getInstance(), new Incarnation(hello.getProcess()));
    }

    /** Whether the frame has both parts, which companions of earlier builds do not send. */
    boolean isComplete() {
        return !instance.isEmpty() && !process.equals(NONE);
    }

    /** Introduction of the side that accepted a connection. */
    Frame introduction() {
        return introductionTo(NONE);
    }

    /** Introduction of the side that connected, which has verified the process at the other end. */
    Frame introductionTo(Incarnation receiver) {
        return Frame.newBuilder()
                .setHello(CompanionProto.Hello.newBuilder()
                        .setInstance(instance)
                        .setProcess(process.id())
                        .setReceiver(receiver.id()))
                .build();
    }
}
