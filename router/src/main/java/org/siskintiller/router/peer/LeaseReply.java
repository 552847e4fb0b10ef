package org.siskintiller.router.peer;

import java.util.List;

import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.router.store.StoredRecord;

/**
 * Answer of the authority to a renewal.
 *
 * @param sequence number of the renewal
 * @param leaseMs lease from the sending of the renewal; 0 when it was denied
 * @param release ranges to release
 * @param records records that the holder lacks
 */
public record LeaseReply(long term, int sequence, long leaseMs, List<KeyRange> release, List<StoredRecord> records) {

    public LeaseReply {
        release = List.copyOf(release);
        records = List.copyOf(records);
    }
}
