package org.siskintiller.core.idempotency;

import java.util.Objects;

import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.core.model.SlotId;

/**
 * Marks that the sender has sent all records of a slot. It is sent as a record with an empty idempotency key. A
 * companion that opens a slot without a current marker cannot assume that its records are complete.
 *
 * @param version version of the slot's assignment that the sender served, or that the slot was released for
 * @param released whether the sender released the slot; otherwise it copied the slot's records to a standby
 * @param unknownBeforeMs requests with keys generated before this wall clock time may have run without a record
 */
public record SlotMarker(SlotId slot, long version, boolean released, long unknownBeforeMs) {
    private static final int RELEASED = 1;
    private static final int COPIED = 0;

    public SlotMarker {
        Objects.requireNonNull(slot, "slot");
    }

    public static boolean isMarker(RequestRecord record) {
        return record.idempotencyKey().isEmpty();
    }

    public static SlotMarker from(RequestRecord record) {
        return new SlotMarker(record.slot(), record.digest(), record.status() == RELEASED, record.recordedAtMs());
    }

    public RequestRecord toRecord() {
        int status = released ? RELEASED : COPIED;
        return new RequestRecord(slot, "", version, RequestState.COMPLETED, status, "", Bytes.EMPTY, unknownBeforeMs);
    }

    /**
     * Whether the records are complete for a companion that opens the slot at the version. A standby must have been
     * synchronised by an owner of the same version, since it may have missed records of later owners. A released slot
     * has no other owner before the next version, so its marker holds for that version too.
     */
    public boolean isValidAt(long openedVersion) {
        return version == openedVersion || released && version == openedVersion - 1;
    }
}
