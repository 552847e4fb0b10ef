package org.siskintiller.wire;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.UnsafeByteOperations;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.wire.proto.Proto;

/** Codec of the records of non-idempotent requests, which are the payloads of the requests stream. */
public final class RequestRecordCodec {

    private RequestRecordCodec() {}

    public static byte[] encode(RequestRecord record) {
        return toProto(record).toByteArray();
    }

    public static Decoded<RequestRecord> decode(byte[] bytes) {
        return Decoding.attempt(() -> fromProto(Proto.RequestRecord.parseFrom(bytes)));
    }

    static List<Proto.RequestRecord> toProto(List<RequestRecord> records) {
        List<Proto.RequestRecord> result = new ArrayList<>(records.size());
        for (RequestRecord record : records) {
            result.add(toProto(record));
        }
        return result;
    }

    static List<RequestRecord> fromProto(List<Proto.RequestRecord> records) {
        List<RequestRecord> result = new ArrayList<>(records.size());
        for (Proto.RequestRecord record : records) {
            result.add(fromProto(record));
        }
        return result;
    }

    private static Proto.RequestRecord toProto(RequestRecord record) {
        return Proto.RequestRecord.newBuilder()
                .setSlot(ModelCodec.toProto(record.slot()))
                .setIdempotencyKey(record.idempotencyKey())
                .setDigest(record.digest())
                .setState(toProto(record.state()))
                .setStatus(record.status())
                .setContentType(record.contentType())
                .setBody(UnsafeByteOperations.unsafeWrap(record.body().toArray()))
                .setRecordedAtMs(record.recordedAtMs())
                .build();
    }

    private static RequestRecord fromProto(Proto.RequestRecord record) {
        return new RequestRecord(
                ModelCodec.fromProto(record.getSlot()),
                record.getIdempotencyKey(),
                record.getDigest(),
                fromProto(record.getState()),
                record.getStatus(),
                record.getContentType(),
                Bytes.copyOf(record.getBody().toByteArray()),
                record.getRecordedAtMs());
    }

    private static Proto.RequestRecord.State toProto(RequestState state) {
        return switch (state) {
            case STARTED -> Proto.RequestRecord.State.STARTED;
            case COMPLETED -> Proto.RequestRecord.State.COMPLETED;
            case UNKNOWN -> Proto.RequestRecord.State.UNKNOWN;
            case NOT_RUN -> Proto.RequestRecord.State.NOT_RUN;
        };
    }

    private static RequestState fromProto(Proto.RequestRecord.State state) {
        return switch (state) {
            case STARTED -> RequestState.STARTED;
            case COMPLETED -> RequestState.COMPLETED;
            case UNKNOWN -> RequestState.UNKNOWN;
            case NOT_RUN -> RequestState.NOT_RUN;
            case UNSPECIFIED, UNRECOGNIZED -> throw new IllegalArgumentException("unknown request state " + state);
        };
    }
}
