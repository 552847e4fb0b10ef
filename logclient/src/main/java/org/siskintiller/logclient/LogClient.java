package org.siskintiller.logclient;

import java.util.List;

/**
 * Client of the append-only log service. Its methods block and do not throw when the service fails; use one
 * thread for appends and one per tailed stream.
 */
public interface LogClient {

    /** Appends the records as one batch. After Uncertain, the same records may be appended again. */
    AppendResult append(String stream, List<PendingRecord> records);

    /**
     * Reads records from an offset.
     *
     * @param maxRecords maximum number of records returned
     * @param waitMs maximum time that the service waits for a record when none is available yet
     */
    ReadResult read(String stream, long from, int maxRecords, long waitMs);
}
