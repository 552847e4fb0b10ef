package org.siskintiller.router.peer;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Header;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.wire.companion.CompanionProto;

import static com.google.common.truth.Truth.assertThat;

class FramesTest {
    private static final long MS = 1_000_000;

    @Nested
    class Load {
        /** Guards against the loss of a slow phase on the way to the companions that choose a server. */
        @Test
        void keepsAllFigures() {
            BackendLoad load = new BackendLoad(3, 2, 6, 162_000, 214);

            assertThat(Frames.load(Frames.load(load))).isEqualTo(load);
        }
    }

    @Nested
    class SharedRecords {
        /** Guards against rows that an earlier build would take for a whole key table. */
        @Test
        void haveChangedRowsInPlaceOfTheValue() {
            SharedRecord changed = new SharedRecord(new StoredRecord("keys/s", new byte[] {1, 2}, 3, 4), 5);

            CompanionProto.SharedRecord frame = Frames.sharedRecords(List.of(changed), false)
                    .getSharedRecords()
                    .getRecords(0);

            assertThat(frame.getValue().isEmpty()).isTrue();
            SharedRecord received = Frames.records(List.of(frame)).get(0);
            assertThat(received.baseFence()).isEqualTo(5);
            assertThat(received.record().key()).isEqualTo("keys/s");
            assertThat(received.record().value()).isEqualTo(new byte[] {1, 2});
            assertThat(received.record().position()).isEqualTo(changed.record().position());
        }
    }

    @Nested
    class Request {
        /** Guards against a download whose body does not wait for the link, since its kind is lost on the way. */
        @ParameterizedTest
        @EnumSource
        void keepsItsKind(RequestKind kind) {
            ForwardedRequest request = new ForwardedRequest(
                    "id",
                    "service",
                    "GET",
                    "/a",
                    List.of(new Header("name", "value")),
                    new byte[] {1, 2},
                    500 * MS,
                    100 * MS,
                    1,
                    kind,
                    true,
                    7,
                    9);

            ForwardedRequest received =
                    Frames.request(Frames.request(1, request, 0).getRequest(), 0);

            assertThat(received.kind()).isEqualTo(kind);
            assertThat(received.deadlineNs()).isEqualTo(request.deadlineNs());
            assertThat(received.objectiveNs()).isEqualTo(request.objectiveNs());
            assertThat(received.headers()).isEqualTo(request.headers());
            assertThat(received.body()).isEqualTo(request.body());
            assertThat(received.key()).isEqualTo(7);
        }
    }
}
