package org.siskintiller.router.peer;

import java.util.List;

import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/** Converts evacuations to their form in frames and back. */
final class EvacuationCodec {
    private EvacuationCodec() {}

    static Frame frame(List<Evacuation> evacuations) {
        return Frame.newBuilder()
                .setEvacuations(CompanionProto.Evacuations.newBuilder().addAllEvacuations(encode(evacuations)))
                .build();
    }

    static List<CompanionProto.Evacuation> encode(List<Evacuation> evacuations) {
        return evacuations.stream()
                .map(evacuation -> CompanionProto.Evacuation.newBuilder()
                        .setDomain(evacuation.domain())
                        .setActive(evacuation.active())
                        .setOffset(evacuation.offset())
                        .build())
                .toList();
    }

    static List<Evacuation> decode(List<CompanionProto.Evacuation> frames) {
        return frames.stream()
                .map(frame -> new Evacuation(frame.getDomain(), frame.getActive(), frame.getOffset()))
                .toList();
    }
}
