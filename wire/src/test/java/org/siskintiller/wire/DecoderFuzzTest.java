package org.siskintiller.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord.RequestState;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a decoder that throws on bytes from a faulty or hostile peer, which would end the calling thread. */
class DecoderFuzzTest {
    private static final long SEED = 4711;
    private static final int MUTATIONS_PER_SAMPLE = 2_000;
    private static final int RANDOM_INPUTS = 20_000;
    private static final int MAX_RANDOM_BYTES = 64;

    private final SplittableRandom random = new SplittableRandom(SEED);

    @Test
    void logDecoderNeverThrows() {
        List<byte[]> samples = new ArrayList<>();
        for (LogRecord record : Samples.logRecords()) {
            samples.add(LogCodec.encode(record));
        }
        fuzz(samples, LogCodec::decode);
    }

    @Test
    void peerDecoderNeverThrows() {
        List<byte[]> samples = new ArrayList<>();
        for (PeerMessage message : Samples.peerMessages()) {
            samples.add(PeerCodec.encode(message));
        }
        fuzz(samples, PeerCodec::decode);
    }

    @Test
    void requestRecordDecoderNeverThrows() {
        fuzz(
                List.of(RequestRecordCodec.encode(Samples.requestRecord(RequestState.STARTED))),
                RequestRecordCodec::decode);
    }

    private void fuzz(List<byte[]> samples, Function<byte[], Decoded<?>> decoder) {
        int malformed = 0;
        for (int i = 0; i < RANDOM_INPUTS; i++) {
            byte[] bytes = new byte[random.nextInt(MAX_RANDOM_BYTES)];
            random.nextBytes(bytes);
            malformed += countMalformed(decoder.apply(bytes));
        }
        for (byte[] sample : samples) {
            for (int i = 0; i < MUTATIONS_PER_SAMPLE; i++) {
                malformed += countMalformed(decoder.apply(mutate(sample)));
            }
        }
        assertThat(malformed).isGreaterThan(RANDOM_INPUTS / 2);
    }

    private static int countMalformed(Decoded<?> decoded) {
        assertThat(decoded).isNotNull();
        return decoded instanceof Decoded.Malformed ? 1 : 0;
    }

    private byte[] mutate(byte[] sample) {
        int length = random.nextInt(4) == 0 ? random.nextInt(sample.length + 1) : sample.length;
        byte[] mutated = Arrays.copyOf(sample, length);
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes && length > 0; i++) {
            mutated[random.nextInt(length)] = (byte) random.nextInt(256);
        }
        return mutated;
    }
}
