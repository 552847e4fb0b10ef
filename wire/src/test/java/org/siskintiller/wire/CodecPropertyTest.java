package org.siskintiller.wire;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.core.model.SlotId;

import static com.google.common.truth.Truth.assertThat;

/** Guards against protobuf integer types that are narrower than the Java field they encode. */
class CodecPropertyTest {

    @Property(tries = 500, seed = "20261204")
    void heartbeatRoundTrips(
            @ForAll long holder, @ForAll long sequence, @ForAll long appliedOffset, @ForAll boolean recordsInLog) {
        PeerMessage heartbeat =
                new PeerMessage.Heartbeat(new Incarnation(holder), sequence, appliedOffset, recordsInLog);
        assertThat(PeerCodec.decode(PeerCodec.encode(heartbeat))).isEqualTo(new Decoded.Ok<>(heartbeat));
    }

    @Property(tries = 500, seed = "20261204")
    void requestRecordRoundTrips(
            @ForAll String key, @ForAll long digest, @ForAll byte[] body, @ForAll long recordedAtMs) {
        // Protobuf strings cannot hold unpaired surrogates. Keys come from HTTP headers, which cannot either.
        String encodable = new String(key.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
        RequestRecord record = new RequestRecord(
                new SlotId("s", 1),
                encodable,
                digest,
                RequestState.COMPLETED,
                200,
                "text/plain",
                Bytes.copyOf(body),
                recordedAtMs);
        assertThat(RequestRecordCodec.decode(RequestRecordCodec.encode(record))).isEqualTo(new Decoded.Ok<>(record));
    }
}
