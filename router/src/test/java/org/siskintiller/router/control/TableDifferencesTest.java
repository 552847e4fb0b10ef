package org.siskintiller.router.control;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.router.peer.SharedRecord;
import org.siskintiller.router.store.StoredRecord;

import static com.google.common.truth.Truth.assertThat;

/** Key tables that reach a companion in parts. */
class TableDifferencesTest {
    private static final KeyTable.Holder HOLDER = new KeyTable.Holder("a", 1);
    private static final int ROWS = 64;

    private final ControlState sender = new ControlState();
    private final ControlState receiver = new ControlState();
    private final TableDifferences reduced = new TableDifferences(sender);
    private final TableDifferences completed = new TableDifferences(receiver);
    private KeyTable table = firstTable();
    private long offset;

    @Nested
    class Receiver {
        /** Guards against a table that differs from the one in the store. */
        @Test
        void withTheBaseGetsTheWholeRecord() {
            bothKnow(publish());
            long base = table.lastFence();
            moveKey(17);
            StoredRecord record = publish();

            SharedRecord shared = reduced.since(base, record);

            assertThat(shared.isWhole()).isFalse();
            assertThat(shared.record().value().length).isLessThan(record.value().length / 10);
            StoredRecord whole = completed.complete(shared).orElseThrow();
            assertThat(whole.value()).isEqualTo(record.value());
            assertThat(whole.offset()).isEqualTo(record.offset());
        }

        /** Guards against rows that are applied to a table which lacks changes before them. */
        @Test
        void withoutTheBaseGetsNothing() {
            bothKnow(publish());
            moveKey(17);
            publish();
            long base = table.lastFence();
            moveKey(18);

            assertThat(completed.complete(reduced.since(base, publish()))).isEmpty();
        }

        /** Guards against rows of one term that are applied to a table of another one. */
        @Test
        void withATableOfAnotherTermGetsNothing() {
            bothKnow(publish());
            long base = table.lastFence();
            receiver.apply(record(new KeyTable("s", 2, base, table.grants())));
            moveKey(17);
            SharedRecord shared = reduced.since(base, publish());
            receiver.apply(record(new KeyTable("s", 2, base + 1, table.grants())));

            assertThat(completed.complete(shared)).isEqualTo(Optional.<StoredRecord>empty());
        }
    }

    @Nested
    class Sender {
        /** Guards against a new authority whose table differs from that of the one before in rows with old fences. */
        @Test
        void sendsTheFirstTableOfATermWhole() {
            bothKnow(publish());
            long base = table.lastFence();
            List<KeyGrant> kept = table.grants().subList(0, ROWS / 2);
            table = new KeyTable("s", 2, base + 1, kept);

            assertThat(reduced.since(base, publish()).isWhole()).isTrue();
        }

        /** Guards against a companion that has no table and is sent a part of it. */
        @Test
        void sendsTheTableWholeToACompanionWithoutIt() {
            assertThat(reduced.since(0, publish()).isWhole()).isTrue();
        }
    }

    private void bothKnow(StoredRecord record) {
        receiver.apply(record);
    }

    private StoredRecord publish() {
        StoredRecord record = record(table);
        sender.apply(record);
        return record;
    }

    private StoredRecord record(KeyTable content) {
        return new StoredRecord(ControlRecords.keyTableKey("s"), ControlRecords.encode(content), offset++);
    }

    private void moveKey(int key) {
        table = table.assign(new KeyRange(key, key), new KeyTable.Holder("b", 1), "", table.term());
    }

    private static KeyTable firstTable() {
        KeyTable first = new KeyTable("s", 1, 0, List.of());
        int size = (KeyRange.MAX_KEY + 1) / ROWS;
        for (int row = 0; row < ROWS; row++) {
            first = first.assign(new KeyRange(row * size, (row + 1) * size - 1), HOLDER, "", 1);
        }
        return first;
    }
}
