package org.siskintiller.wire;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.wire.proto.Proto;

import static com.google.common.truth.Truth.assertThat;

/** Guards against fields that a codec drops, swaps or truncates, and against datagrams over the bandwidth budget. */
class CodecTest {
    private static final int MAX_DATAGRAM_BYTES = 40;

    /** Pairs of heartbeat and ack at a companion with five witnesses and 2.5 heartbeats/s, as holder and as witness. */
    private static final int HEARTBEAT_ACK_PAIRS_PER_SECOND = 25;

    private static final int IP_AND_UDP_HEADER_BYTES = 28;
    private static final int BANDWIDTH_BUDGET_BYTES_PER_SECOND = 3_000;

    @Nested
    class RoundTrip {

        @Test
        void everyLogRecordRoundTrips() {
            Set<Class<?>> variants = new HashSet<>();
            for (LogRecord record : Samples.logRecords()) {
                variants.add(record.getClass());
                assertThat(LogCodec.decode(LogCodec.encode(record))).isEqualTo(new Decoded.Ok<>(record));
            }
            assertThat(variants).containsExactlyElementsIn(LogRecord.class.getPermittedSubclasses());
        }

        @Test
        void everyPeerMessageRoundTrips() {
            Set<Class<?>> variants = new HashSet<>();
            for (PeerMessage message : Samples.peerMessages()) {
                variants.add(message.getClass());
                assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(new Decoded.Ok<>(message));
                assertThat(PeerCodec.fromProto(PeerCodec.toProto(message))).isEqualTo(new Decoded.Ok<>(message));
            }
            variants.add(PeerMessage.Datagram.class);
            variants.removeIf(PeerMessage.Datagram.class::isAssignableFrom);
            int streamVariants = PeerMessage.class.getPermittedSubclasses().length - 1;
            assertThat(variants).hasSize(streamVariants);
        }

        @Test
        void everyRequestStateRoundTrips() {
            for (RequestState state : RequestState.values()) {
                RequestRecord record = Samples.requestRecord(state);
                assertThat(RequestRecordCodec.decode(RequestRecordCodec.encode(record)))
                        .isEqualTo(new Decoded.Ok<>(record));
            }
        }

        @Test
        void decodedEntryHasOffsetAndOperationId() {
            LogRecord record = new LogRecord.SessionClosed(Samples.B);
            OperationId id = new OperationId(1, -1);
            assertThat(LogCodec.decode(44, id, LogCodec.encode(record)))
                    .isEqualTo(new Decoded.Ok<>(new LogEntry(44, id, record)));
        }
    }

    @Nested
    class Malformed {

        @Test
        void emptyBytesAreMalformed() {
            assertThat(LogCodec.decode(new byte[0])).isInstanceOf(Decoded.Malformed.class);
            assertThat(PeerCodec.decode(new byte[0])).isInstanceOf(Decoded.Malformed.class);
        }

        @Test
        void recordWithoutStateIsMalformed() {
            byte[] bytes = Proto.RequestRecord.newBuilder()
                    .setIdempotencyKey("key")
                    .build()
                    .toByteArray();
            assertThat(RequestRecordCodec.decode(bytes)).isInstanceOf(Decoded.Malformed.class);
        }

        @Test
        void nanLoadIsMalformed() {
            Proto.PeerMessage message = Proto.PeerMessage.newBuilder()
                    .setLoadReport(Proto.LoadReport.newBuilder().setLoad(Double.NaN))
                    .build();
            assertThat(PeerCodec.fromProto(message)).isInstanceOf(Decoded.Malformed.class);
        }

        @Test
        void portOutOfRangeIsMalformed() {
            Proto.LogRecord.Builder record = Proto.LogRecord.newBuilder();
            record.getSessionOpenedBuilder()
                    .getSessionBuilder()
                    .getHttpAddressBuilder()
                    .setPort(70_000);
            assertThat(LogCodec.decode(record.build().toByteArray())).isInstanceOf(Decoded.Malformed.class);
        }
    }

    @Nested
    class DatagramSize {

        /** Holds the sequence number after 25 years and the offset after a year at 300 appends/s. */
        private final PeerMessage heartbeat =
                new PeerMessage.Heartbeat(Samples.A, 2_000_000_000L, 10_000_000_000L, true);

        private final PeerMessage ack =
                new PeerMessage.HeartbeatAck(Samples.A, Samples.B, 2_000_000_000L, true, 10_000_000_000L);

        @Test
        void datagramsFitTheSizeLimit() {
            assertThat(PeerCodec.encode(heartbeat).length).isAtMost(MAX_DATAGRAM_BYTES);
            assertThat(PeerCodec.encode(ack).length).isAtMost(MAX_DATAGRAM_BYTES);
        }

        @Test
        void heartbeatsAndAcksFitTheBandwidthBudget() {
            int pairBytes =
                    PeerCodec.encode(heartbeat).length + PeerCodec.encode(ack).length + 2 * IP_AND_UDP_HEADER_BYTES;
            assertThat(HEARTBEAT_ACK_PAIRS_PER_SECOND * pairBytes).isAtMost(BANDWIDTH_BUDGET_BYTES_PER_SECOND);
        }
    }
}
