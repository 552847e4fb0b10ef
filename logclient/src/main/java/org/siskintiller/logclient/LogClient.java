package org.siskintiller.logclient;

import java.util.List;

/**
 * Client of the append-only log service. Its methods block and never throw for a failure of the service; use one
 * thread for appends and one per tailed stream.
 */
public interface LogClient {

    /** Appends the records as one batch. After Uncertain, the same records may be appended again. */
    AppendResult append(String stream, List<PendingRecord> records);

    /**
     * Reads records from an offset.
     *
     * @param max largest number of records returned
     * @param waitMs longest time that the service waits for a record when there is none yet
     */
    ReadResult read(String stream, long from, int max, long waitMs);
}
