package org.siskintiller.wire;

import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.wire.proto.Proto;

/** Codec of control stream records, which are the payloads of log entries. */
public final class LogCodec {

    private LogCodec() {}

    public static byte[] encode(LogRecord record) {
        return LogRecordWriter.toProto(record).toByteArray();
    }

    public static Decoded<LogRecord> decode(byte[] payload) {
        return Decoding.attempt(() -> LogRecordReader.fromProto(Proto.LogRecord.parseFrom(payload)));
    }

    /** Decodes the payload of a stored record into a log entry with the offset and operation id of that record. */
    public static Decoded<LogEntry> decode(long offset, OperationId operationId, byte[] payload) {
        return Decoding.attempt(
                () -> new LogEntry(offset, operationId, LogRecordReader.fromProto(Proto.LogRecord.parseFrom(payload))));
    }

    static Proto.LogEntry toProto(LogEntry entry) {
        return Proto.LogEntry.newBuilder()
                .setOffset(entry.offset())
                .setOperationId(ModelCodec.toProto(entry.operationId()))
                .setRecord(LogRecordWriter.toProto(entry.record()))
                .build();
    }

    static LogEntry fromProto(Proto.LogEntry entry) {
        return new LogEntry(
                entry.getOffset(),
                ModelCodec.fromProto(entry.getOperationId()),
                LogRecordReader.fromProto(entry.getRecord()));
    }
}
