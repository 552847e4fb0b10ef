package org.siskintiller.router.peer;

import java.util.List;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.router.request.ForwardedRequest;

import static com.google.common.truth.Truth.assertThat;

class PeerStreamsTest {
    private final PeerStreams streams = new PeerStreams(null);
    private final Channel first = new EmbeddedChannel();
    private final Channel second = new EmbeddedChannel();

    @Nested
    class TwoConnections {
        /** Guards against an answer on one connection that ends a request which was sent on another one. */
        @Test
        void shareNoStream() {
            int id = streams.begin(request(), null, first).id();

            assertThat(streams.get(id, second)).isNull();
            assertThat(streams.remove(id, second)).isNull();
            assertThat(streams.remove(id, first)).isNotNull();
            assertThat(streams.size()).isEqualTo(0);
        }
    }

    private static ForwardedRequest request() {
        return new ForwardedRequest(
                "id",
                "service",
                "GET",
                "/",
                List.of(),
                new byte[0],
                0,
                0,
                0,
                RequestKind.IDEMPOTENT,
                false,
                ForwardedRequest.NO_KEY,
                0);
    }
}
