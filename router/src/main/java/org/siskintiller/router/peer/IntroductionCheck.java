package org.siskintiller.router.peer;

import org.siskintiller.core.path.PeerProcesses;
import org.siskintiller.core.path.PeerProcesses.Standing;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/** Decides by the first frame of a companion that connects whether it may use the connection. */
final class IntroductionCheck {
    private final PeerIdentity self;
    private final PeerProcesses processes = new PeerProcesses();

    IntroductionCheck(PeerIdentity self) {
        this.self = self;
    }

    /**
     * Returns the standing of the process that introduces itself. One that does not, or that means another process than this
     * one, counts as ended.
     *
     * @param connection number of the connection, in the order in which connections were accepted
     */
    Standing check(Frame frame, long connection) {
        CompanionProto.Hello hello = frame.getHello();
        PeerIdentity peer = PeerIdentity.of(hello);
        boolean isMeant =
                peer.isComplete() && hello.getReceiver() == self.process().id();
        Standing standing =
                isMeant ? processes.introduced(peer.instance(), peer.process(), connection) : Standing.ENDED;
        if (standing == Standing.ENDED) {
            EventLog.log(
                    LogEvent.PEER_NOT_EXPECTED,
                    "peer",
                    peer.instance(),
                    "process",
                    peer.process(),
                    "meant_for_this_process",
                    isMeant,
                    "frame",
                    String.valueOf(frame.getKindCase()));
        }
        return standing;
    }
}
