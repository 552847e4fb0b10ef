package org.siskintiller.core.idempotency;

import java.util.Objects;

import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotId;

/** Identifies the record of a non-idempotent request. */
public record RecordKey(SlotId slot, String idempotencyKey) {

    public RecordKey {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    }

    public static RecordKey of(RequestRecord record) {
        return new RecordKey(record.slot(), record.idempotencyKey());
    }
}
