package org.siskintiller.router.peer;

import java.util.List;

import org.siskintiller.core.keyrange.KeyRange;

/**
 * Reply of the authority to a renewal.
 *
 * @param sequence number of the renewal
 * @param leaseMs duration of the lease, counted from the sending of the renewal; 0 if the renewal was denied
 * @param release ranges that the holder must release
 * @param records records that the holder has not read yet
 */
public record LeaseReply(long term, int sequence, long leaseMs, List<KeyRange> release, List<SharedRecord> records) {

    public LeaseReply {
        release = List.copyOf(release);
        records = List.copyOf(records);
    }
}
