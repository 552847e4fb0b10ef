package org.siskintiller.core.idempotency;

import java.util.List;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestRecord;

/** Receives what the idempotency records require of their surroundings. */
public interface RecordSink {

    /** Stores records at a standby. With reset they are all records of their slots. */
    void storeAtStandby(Incarnation standby, long sequence, boolean reset, List<RequestRecord> records);

    /** Appends records to the requests stream. */
    void storeInLog(long sequence, List<RequestRecord> records);

    /** Makes the witnesses know that records may be in the log. */
    void requestRecordsInLog();

    /** Reads the requests stream to its tail. */
    void readRequestsStream();

    /** The second place has the started record; its request may be dispatched. */
    void recordStored(RequestRecord started);

    /** Neither a standby nor the log has stored the started record. */
    void recordNotStored(RequestRecord started);
}
