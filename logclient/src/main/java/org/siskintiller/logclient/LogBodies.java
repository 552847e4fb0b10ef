package org.siskintiller.logclient;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.wire.ModelCodec;
import org.siskintiller.wire.proto.Proto;

/** Encodes request bodies for the log service, and decodes and validates its response bodies. */
final class LogBodies {

    private LogBodies() {}

    static Proto.AppendRequest appendRequest(List<PendingRecord> records) {
        Proto.AppendRequest.Builder builder = Proto.AppendRequest.newBuilder();
        for (PendingRecord record : records) {
            builder.addItemsBuilder()
                    .setOperationId(ModelCodec.toProto(record.operationId()))
                    .setPayload(ByteString.copyFrom(record.payload().toArray()));
        }
        return builder.build();
    }

    static AppendResult appendResult(byte[] body) {
        try {
            Proto.AppendResponse response = Proto.AppendResponse.parseFrom(body);
            if (response.hasFirstOffset() && response.getFirstOffset() >= 0) {
                return new AppendResult.Stored(response.getFirstOffset());
            }
            return new AppendResult.Uncertain("answer names no offset");
        } catch (InvalidProtocolBufferException e) {
            return new AppendResult.Uncertain("answer is malformed: " + e.getMessage());
        }
    }

    static ReadResult readResult(byte[] body, long from) {
        try {
            return readResult(Proto.ReadResponse.parseFrom(body), from);
        } catch (InvalidProtocolBufferException e) {
            return new ReadResult.Unavailable("answer is malformed: " + e.getMessage());
        }
    }

    static ReadResult expired(byte[] body) {
        try {
            Proto.ReadResponse response = Proto.ReadResponse.parseFrom(body);
            if (response.hasFirstOffset() && response.getFirstOffset() >= 0) {
                return new ReadResult.Expired(response.getFirstOffset());
            }
            return new ReadResult.Unavailable("answer names no first offset");
        } catch (InvalidProtocolBufferException e) {
            return new ReadResult.Unavailable("answer is malformed: " + e.getMessage());
        }
    }

    /** Rejects a gap in the offsets: a companion that skips a record would replay a different state than its peers. */
    private static ReadResult readResult(Proto.ReadResponse response, long from) {
        List<StoredRecord> records = new ArrayList<>(response.getItemsCount());
        long expectedOffset = from;
        for (Proto.ReadResponse.Item item : response.getItemsList()) {
            if (item.getOffset() != expectedOffset) {
                return new ReadResult.Unavailable(
                        "answer has offset " + item.getOffset() + " in place of " + expectedOffset);
            }
            records.add(new StoredRecord(
                    item.getOffset(),
                    ModelCodec.fromProto(item.getOperationId()),
                    item.getTimeMs(),
                    Bytes.copyOf(item.getPayload().toByteArray())));
            expectedOffset++;
        }
        if (!response.hasNextOffset() || response.getNextOffset() != expectedOffset) {
            return new ReadResult.Unavailable("answer does not name " + expectedOffset + " as its next offset");
        }
        return new ReadResult.Read(records, expectedOffset, response.getAtTail());
    }
}
