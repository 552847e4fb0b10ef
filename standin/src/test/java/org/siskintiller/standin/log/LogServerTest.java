package org.siskintiller.standin.log;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.logclient.AppendResult;
import org.siskintiller.logclient.HttpLogClient;
import org.siskintiller.logclient.LogClientSettings;
import org.siskintiller.logclient.PendingRecord;
import org.siskintiller.logclient.ReadResult;
import org.siskintiller.logclient.StoredRecord;
import org.siskintiller.standin.StandinClient;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a log stand-in that does not apply its faults, so that failure tests pass without a failure. */
@Timeout(60)
class LogServerTest {
    private static final Address ANY_PORT = new Address("127.0.0.1", 0);
    private static final String STREAM = "control";

    private LogServer server;

    @AfterEach
    void stop() {
        server.close();
    }

    private HttpLogClient start(LogServerSettings settings) throws Exception {
        server = new LogServer(ANY_PORT, settings);
        return new HttpLogClient(new LogClientSettings(
                server.address(), Duration.ofSeconds(5), Duration.ofSeconds(10), 1 << 20, 1 << 20));
    }

    private HttpLogClient start() throws Exception {
        return start(new LogServerSettings(0, 0, 0, 10, 7));
    }

    private static List<PendingRecord> batch(int... ids) {
        return Arrays.stream(ids)
                .mapToObj(id -> new PendingRecord(new OperationId(id, -id), Bytes.copyOf(new byte[] {(byte) id})))
                .toList();
    }

    private static List<Long> ids(ReadResult result) {
        return ((ReadResult.Read) result)
                .records().stream().map(record -> record.operationId().high()).toList();
    }

    private void setFaults(String json) throws Exception {
        new StandinClient(server.address()).setFaults(json);
    }

    @Test
    void batchesKeepTheirOrderAndOffsets() throws Exception {
        HttpLogClient client = start();
        assertThat(client.append(STREAM, batch(1, 2))).isEqualTo(new AppendResult.Stored(0));
        assertThat(client.append(STREAM, batch(3))).isEqualTo(new AppendResult.Stored(2));
        assertThat(client.append("requests", batch(4))).isEqualTo(new AppendResult.Stored(0));
        ReadResult.Read first = (ReadResult.Read) client.read(STREAM, 0, 2, 0);
        assertThat(first.atTail()).isFalse();
        assertThat(ids(first)).containsExactly(1L, 2L).inOrder();
        ReadResult.Read second = (ReadResult.Read) client.read(STREAM, first.nextOffset(), 2, 0);
        assertThat(second.atTail()).isTrue();
        StoredRecord last = second.records().get(0);
        assertThat(last.payload()).isEqualTo(Bytes.copyOf(new byte[] {3}));
        assertThat(last.offset()).isEqualTo(2);
    }

    @Test
    void recordWithLostResponseIsStored() throws Exception {
        HttpLogClient client = start();
        setFaults("{\"loseAnswers\":1}");
        assertThat(client.append(STREAM, batch(1))).isInstanceOf(AppendResult.Uncertain.class);
        assertThat(ids(client.read(STREAM, 0, 10, 5_000))).containsExactly(1L);
    }

    @Test
    void lateAppendTakesEffectAfterTheRetry() throws Exception {
        HttpLogClient client = start();
        setFaults("{\"lateAppendMs\":300}");
        assertThat(client.append(STREAM, batch(1))).isInstanceOf(AppendResult.Uncertain.class);
        setFaults("{\"mode\":\"up\"}");
        assertThat(client.append(STREAM, batch(1, 2))).isEqualTo(new AppendResult.Stored(0));
        assertThat(ids(client.read(STREAM, 2, 10, 10_000))).containsExactly(1L);
    }

    @Test
    void misspeltAndIncompleteFaultsAreRefused() throws Exception {
        start();
        assertThrows(IllegalArgumentException.class, () -> setFaults("{\"lateAppendsMs\":300}"));
        assertThrows(IllegalArgumentException.class, () -> setFaults("{\"mode\":\"slow\"}"));
        assertThrows(IllegalArgumentException.class, () -> setFaults("{\"mode\":\"dwon\"}"));
    }

    @Test
    void recordsExpireByCount() throws Exception {
        HttpLogClient client = start(new LogServerSettings(0, 3, 0, 10, 7));
        client.append(STREAM, batch(1, 2, 3, 4, 5));
        assertThat(client.read(STREAM, 1, 10, 0)).isEqualTo(new ReadResult.Expired(2));
        assertThat(ids(client.read(STREAM, 2, 10, 0))).containsExactly(3L, 4L, 5L);
    }

    @Test
    void recordsExpireByAge() throws Exception {
        HttpLogClient client = start(new LogServerSettings(1, 0, 0, 10, 7));
        client.append(STREAM, batch(1));
        ReadResult result = client.read(STREAM, 0, 10, 0);
        while (result instanceof ReadResult.Read) {
            TimeUnit.MILLISECONDS.sleep(1);
            result = client.read(STREAM, 0, 10, 0);
        }
        assertThat(result).isEqualTo(new ReadResult.Expired(1));
    }

    @Test
    void longPollReturnsWithTheNextRecord() throws Exception {
        HttpLogClient client = start();
        CompletableFuture<ReadResult> poll = CompletableFuture.supplyAsync(() -> client.read(STREAM, 0, 10, 30_000));
        TimeUnit.MILLISECONDS.sleep(100);
        client.append(STREAM, batch(1));
        assertThat(ids(poll.get(20, TimeUnit.SECONDS))).containsExactly(1L);
    }

    @Test
    void emptyLongPollEndsAfterItsWaitTime() throws Exception {
        HttpLogClient client = start();
        assertThat(client.read(STREAM, 0, 10, 20)).isEqualTo(new ReadResult.Read(List.of(), 0, true));
    }

    @Test
    void downInterruptsLongPollsAndAppendsUntilUp() throws Exception {
        HttpLogClient client = start();
        CompletableFuture<ReadResult> poll = CompletableFuture.supplyAsync(() -> client.read(STREAM, 0, 10, 30_000));
        TimeUnit.MILLISECONDS.sleep(100);
        setFaults("{\"mode\":\"down\"}");
        assertThat(poll.get(20, TimeUnit.SECONDS)).isInstanceOf(ReadResult.Unavailable.class);
        assertThat(client.append(STREAM, batch(1))).isInstanceOf(AppendResult.Uncertain.class);
        setFaults("{\"mode\":\"up\"}");
        assertThat(client.append(STREAM, batch(2))).isEqualTo(new AppendResult.Stored(0));
    }

    @Test
    void appendsBeyondTheRateAreRefused() throws Exception {
        HttpLogClient client = start(new LogServerSettings(0, 0, 0.001, 10, 7));
        assertThat(client.append(STREAM, batch(1))).isEqualTo(new AppendResult.Stored(0));
        assertThat(client.append(STREAM, batch(2))).isInstanceOf(AppendResult.Refused.class);
    }

    @Test
    void batchBeyondTheLimitIsRefused() throws Exception {
        HttpLogClient client = start();
        assertThat(client.append(STREAM, batch(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)))
                .isInstanceOf(AppendResult.Refused.class);
    }
}
