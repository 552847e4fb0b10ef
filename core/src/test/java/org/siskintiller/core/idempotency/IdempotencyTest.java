package org.siskintiller.core.idempotency;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.core.model.SlotId;

import static com.google.common.truth.Truth.assertThat;

class IdempotencyTest implements RecordSink {
    private static final SlotId SLOT = new SlotId("desk", 1);
    private static final Incarnation STANDBY = new Incarnation(9);
    private static final long WALL_MS = 1_000_000;

    private final Idempotency records = new Idempotency("desk", this);
    private final List<String> calls = new ArrayList<>();
    private final List<RequestRecord> sent = new ArrayList<>();
    private final List<RequestRecord> storedRecords = new ArrayList<>();
    private long sequence;

    /** Guards against a request that is dispatched after only the newest of its slot's records reached the standby. */
    @Test
    void synchronisesNewStandbyFirst() {
        open(1, STANDBY, true, false);
        assertThat(calls).containsExactly("reset");
        start("a");
        flush(0);
        records.onRecordsStored(sequence);
        assertThat(storedRecords).isEmpty();
        records.onRecordsStored(sequence - 1);
        assertThat(storedRecords).hasSize(1);
    }

    /** Guards against records that a claimant does not read, since the witnesses have not been informed of them. */
    @Test
    void usesLogOnlyAfterTheWitnessesConfirmed() {
        open(1, STANDBY, true, false);
        start("a");
        flush(0);
        records.onRecordsNotStored(sequence, 0);
        flush(0);
        assertThat(calls).containsExactly("reset", "copy", "request").inOrder();
        records.onRecordsInLogConfirmed();
        flush(0);
        assertThat(calls).containsExactly("reset", "copy", "request", "log").inOrder();
        records.onRecordsStored(sequence);
        assertThat(storedRecords).hasSize(1);
        flush(1_100_000_000L);
        assertThat(calls)
                .containsExactly("reset", "copy", "request", "log", "reset")
                .inOrder();
    }

    /** Guards against a request that is dispatched although neither a standby nor the log has stored its record. */
    @Test
    void reportsDoubleFailure() {
        open(1, null, true, false);
        RequestRecord started = start("a");
        records.onRecordsInLogConfirmed();
        flush(0);
        records.onRecordsNotStored(sequence, 0);
        assertThat(calls).contains("not stored");
        records.recordNotRun(started);
        assertThat(lookup("a", 5, false)).isEqualTo(Lookup.Kind.NEW);
    }

    /** Guards against a second execution after the records of a slot were lost. */
    @Test
    void refusesOlderKeysWithoutRecords() {
        open(3, null, false, false);
        assertThat(lookup("a", 5, false)).isEqualTo(Lookup.Kind.UNKNOWN);
        assertThat(lookup("a", 5, true)).isEqualTo(Lookup.Kind.NEW);
    }

    /** Guards against a stale marker: the standby has not received the records of a later owner. */
    @Test
    void acceptsMarkersOfTheOpenedVersionOnly() {
        records.addRecords(List.of(new SlotMarker(SLOT, 2, false, Long.MIN_VALUE).toRecord()));
        open(3, null, false, false);
        assertThat(lookup("a", 5, false)).isEqualTo(Lookup.Kind.UNKNOWN);
        Idempotency other = new Idempotency("desk", this);
        other.addRecords(List.of(new SlotMarker(SLOT, 3, false, Long.MIN_VALUE).toRecord()));
        other.open(SLOT, 3, null, false, false, WALL_MS);
        assertThat(other.lookup(SLOT, key("a"), false, 5, WALL_MS).kind()).isEqualTo(Lookup.Kind.NEW);
    }

    /** Guards against a release after which the next owner accepts keys that the releasing owner has no records of. */
    @Test
    void transfersUnknownPeriodOnRelease() {
        open(3, null, false, false);
        Idempotency next = new Idempotency("desk", this);
        next.addRecords(records.release(SLOT, 3, WALL_MS, new BodyBudget(0)));
        next.open(SLOT, 4, null, true, false, WALL_MS);
        assertThat(next.lookup(SLOT, key("a"), false, 5, WALL_MS).kind()).isEqualTo(Lookup.Kind.UNKNOWN);
    }

    /** Guards against a second execution of a request that the lost owner had started. */
    @Test
    void treatsStartedRecordOfAnotherOwnerAsUnknown() {
        records.addRecords(List.of(
                new SlotMarker(SLOT, 1, false, Long.MIN_VALUE).toRecord(), record("a", RequestState.STARTED, 7)));
        open(1, null, false, false);
        assertThat(lookup("a", 5, false)).isEqualTo(Lookup.Kind.UNKNOWN);
        assertThat(lookup("a", 6, false)).isEqualTo(Lookup.Kind.REUSED);
    }

    /** Guards against a second execution while the request's record may be in the unread part of the stream. */
    @Test
    void acceptsNewKeysOnlyAfterReadingTheRequestsStream() {
        open(1, null, true, true);
        assertThat(lookup("a", 5, false)).isEqualTo(Lookup.Kind.NOT_READY);
        records.addRecords(List.of(record("a", RequestState.STARTED, 7)));
        records.onStreamRead();
        assertThat(lookup("a", 5, false)).isEqualTo(Lookup.Kind.UNKNOWN);
        assertThat(lookup("b", 5, false)).isEqualTo(Lookup.Kind.NEW);
    }

    /** Guards against a late record of an earlier attempt or state that replaces the latest one. */
    @Test
    void keepsRecordOfTheLatestAttempt() {
        open(1, null, true, false);
        records.addRecords(List.of(record("a", RequestState.COMPLETED, 9), record("a", RequestState.NOT_RUN, 8)));
        assertThat(lookup("a", 5, false)).isEqualTo(Lookup.Kind.COMPLETED);
        records.addRecords(List.of(record("b", RequestState.NOT_RUN, 9), record("b", RequestState.STARTED, 9)));
        assertThat(lookup("b", 5, false)).isEqualTo(Lookup.Kind.NEW);
    }

    /** Guards against large response bodies that exhaust the memory. */
    @Test
    void dropsLargeBodies() {
        open(1, null, true, false);
        byte[] large = new byte[Idempotency.MAX_STORED_BODY_BYTES + 1];
        RequestRecord stored = records.complete(start("a"), 201, "text/plain", Bytes.copyOf(large));
        assertThat(stored.body()).isEqualTo(Bytes.EMPTY);
        assertThat(stored.status()).isEqualTo(201);
    }

    /** Guards against a message that exceeds a frame, and against a response without its body that looks complete. */
    @Test
    void limitsBodySizeInMessages() {
        open(1, null, true, false);
        records.complete(start("a"), 200, "", Bytes.copyOf(new byte[100]));
        records.complete(start("b"), 200, "", Bytes.copyOf(new byte[100]));
        List<RequestRecord> released = records.release(SLOT, 1, WALL_MS, new BodyBudget(150));
        assertThat(released.stream().filter(copy -> copy.body().size() > 0).count())
                .isEqualTo(1);
        assertThat(released.stream()
                        .filter(copy -> !copy.contentType().isEmpty())
                        .count())
                .isEqualTo(1);
    }

    /** Guards against copies of the records of an idempotent service, which never needs them. */
    @Test
    void copiesOnlyWhenEnabled() {
        records.setCopying(false);
        open(1, STANDBY, true, false);
        assertThat(calls).isEmpty();
        records.setCopying(true);
        flush(0);
        assertThat(calls).containsExactly("reset");
    }

    /** Guards against records that never expire, and against keys that a longer window makes valid again. */
    @Test
    void dropsExpiredRecordsAndStillRefusesTheirKeys() {
        open(1, null, true, false);
        records.complete(start("a"), 200, "", Bytes.EMPTY);
        long laterMs = WALL_MS + KeyWindow.DEFAULT_WINDOW_MS + 20_000;
        records.flush(0, laterMs);
        assertThat(records.size()).isEqualTo(0);
        records.configure(new KeyWindow(10 * KeyWindow.DEFAULT_WINDOW_MS, 5_000), laterMs);
        assertThat(records.lookup(SLOT, key("a"), false, 5, laterMs).kind()).isEqualTo(Lookup.Kind.OUTSIDE_WINDOW);
    }

    private void open(long version, Incarnation standby, boolean complete, boolean readStream) {
        records.open(SLOT, version, standby, complete, readStream, WALL_MS);
        flush(0);
    }

    private void flush(long nowNs) {
        records.flush(nowNs, WALL_MS);
    }

    private RequestRecord start(String name) {
        return records.start(new RecordKey(SLOT, key(name)), 5, WALL_MS);
    }

    private Lookup.Kind lookup(String name, long digest, boolean generated) {
        return records.lookup(SLOT, key(name), generated, digest, WALL_MS).kind();
    }

    private static RequestRecord record(String name, RequestState state, long attemptMs) {
        return new RequestRecord(SLOT, key(name), 5, state, 200, "", Bytes.EMPTY, attemptMs);
    }

    private static String key(String name) {
        return IdempotencyKey.of(WALL_MS, 1, name.hashCode()).text();
    }

    @Override
    public void storeAtStandby(Incarnation standby, long number, boolean reset, List<RequestRecord> batch) {
        calls.add(reset ? "reset" : "copy");
        sent.addAll(batch);
        sequence = number;
    }

    @Override
    public void storeInLog(long number, List<RequestRecord> batch) {
        calls.add("log");
        sequence = number;
    }

    @Override
    public void requestRecordsInLog() {
        calls.add("request");
    }

    @Override
    public void readRequestsStream() {
        calls.add("read");
    }

    @Override
    public void recordStored(RequestRecord started) {
        storedRecords.add(started);
    }

    @Override
    public void recordNotStored(RequestRecord started) {
        calls.add("not stored");
    }
}
