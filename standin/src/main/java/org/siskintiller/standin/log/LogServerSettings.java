package org.siskintiller.standin.log;

/**
 * Settings of the log stand-in. A retention or rate of 0 is unlimited.
 *
 * @param maxAppendsPerSecond batches accepted per second over all streams
 * @param maxBatchRecords maximum number of records in a batch
 */
public record LogServerSettings(
        long retentionMs, int retentionRecords, double maxAppendsPerSecond, int maxBatchRecords, long seed) {

    public LogServerSettings {
        if (retentionMs < 0 || retentionRecords < 0 || maxAppendsPerSecond < 0 || maxBatchRecords < 1) {
            throw new IllegalArgumentException("limits must be at least 0, the largest batch at least 1");
        }
    }
}
