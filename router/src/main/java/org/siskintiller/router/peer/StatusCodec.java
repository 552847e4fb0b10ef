package org.siskintiller.router.peer;

import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/** Converts the status of a companion to its frame and back. */
final class StatusCodec {
    private StatusCodec() {}

    static Frame frame(PeerStatus status) {
        return Frame.newBuilder()
                .setStatus(CompanionProto.Status.newBuilder()
                        .setService(status.service())
                        .setServing(status.serving())
                        .setLoad(Frames.load(status.load()))
                        .setConfigVersion(status.configVersion())
                        .setRecordsEnd(status.recordsEnd())
                        .setHearsAuthority(status.authorityResponsive())
                        .setStoreAgeMs((int) Math.min(Integer.MAX_VALUE, status.storeAgeMs()))
                        .setStoreOutOfReach(!status.reachesStore())
                        .setConfigUpdateBytes(status.configUpdateBytes())
                        .setColdMs((int) Math.min(Integer.MAX_VALUE, status.coldMs()))
                        .addAllEvacuations(EvacuationCodec.encode(status.evacuations()))
                        .setStoreEra(status.storeEra()))
                .build();
    }

    /** Returns the status in a frame, with the load as the receiver has recorded it. */
    static PeerStatus decode(CompanionProto.Status frame, BackendLoad load) {
        return new PeerStatus(
                frame.getService(),
                frame.getServing(),
                load,
                frame.getConfigVersion(),
                frame.getRecordsEnd(),
                frame.getHearsAuthority(),
                frame.getStoreAgeMs(),
                !frame.getStoreOutOfReach(),
                frame.getConfigUpdateBytes(),
                EvacuationCodec.decode(frame.getEvacuationsList()),
                frame.getColdMs(),
                frame.getStoreEra());
    }
}
