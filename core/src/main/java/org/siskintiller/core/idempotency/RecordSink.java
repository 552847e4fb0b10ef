package org.siskintiller.core.idempotency;

import java.util.List;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestRecord;

/** Executes the storage operations of the idempotency records and receives the results for started requests. */
public interface RecordSink {

    /**
     * Stores records at a standby.
     *
     * @param reset whether these are all records of their slots
     */
    void storeAtStandby(Incarnation standby, long sequence, boolean reset, List<RequestRecord> records);

    /** Appends records to the requests stream. */
    void storeInLog(long sequence, List<RequestRecord> records);

    /** Informs the witnesses that the log may contain records. */
    void requestRecordsInLog();

    /** Reads the requests stream to its tail. */
    void readRequestsStream();

    /** Called when a second copy of the started record is stored; its request may be dispatched. */
    void recordStored(RequestRecord started);

    /** Called when neither a standby nor the log has stored the started record. */
    void recordNotStored(RequestRecord started);
}
