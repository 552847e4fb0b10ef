package org.siskintiller.router.peer;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;

import static com.google.common.truth.Truth.assertThat;

/** Attempts to connect to a companion that is cut off. An attempt that begins meanwhile never succeeds. */
class PeerConnectorTest {
    private static final Address ADDRESS = new Address("127.0.0.1", 1);
    private static final long OUTAGE_MS = 3_000;
    /** Half of the time after which machines that are connected again must serve as usual. */
    private static final long MAX_NOTICE_MS = 1_500;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final List<ChannelFuture> attempts = new CopyOnWriteArrayList<>();
    private final CountDownLatch connected = new CountDownLatch(1);
    private final FleetIntervals intervals = new FleetIntervals();
    private final PeerConnector connector = new PeerConnector(loop, intervals, this::connect);
    private volatile boolean cutOff = true;

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Nested
    class Outage {
        /** Guards against an attempt that began in an outage and decides when its end is noticed. */
        @Test
        void endsSoonAfterItsEnd() throws Exception {
            loop.execute(() -> connector.start(ADDRESS));
            Thread.sleep(OUTAGE_MS);
            cutOff = false;

            assertThat(connected.await(MAX_NOTICE_MS, TimeUnit.MILLISECONDS)).isTrue();
        }

        /** Guards against attempts that pile up, and against a slow link on which each is given up too early. */
        @Test
        void keepsTheOldestAttemptAndFewOthers() throws Exception {
            loop.execute(() -> connector.start(ADDRESS));
            Thread.sleep(OUTAGE_MS);

            assertThat(attempts.size()).isGreaterThan(3);
            assertThat(attempts.get(0).channel().isOpen()).isTrue();
            assertThat(attempts.stream()
                            .filter(attempt -> attempt.channel().isOpen())
                            .count())
                    .isAtMost(3);
        }

        /** Guards against a large fleet that is busy with attempts to connect to those which are gone. */
        @Test
        void causesFewerAttemptsInALargeFleet() throws Exception {
            intervals.setCompanions(160);
            loop.execute(() -> connector.start(ADDRESS));
            Thread.sleep(2 * OUTAGE_MS);

            // Intervals that double from the shortest one, each a quarter below its mean.
            assertThat(attempts.size()).isAtMost(7);
        }
    }

    @Nested
    class Success {
        /** Guards against a second connection to a companion that is connected. */
        @Test
        void endsAllAttempts() throws Exception {
            loop.execute(() -> connector.start(ADDRESS));
            Thread.sleep(500);
            cutOff = false;
            assertThat(connected.await(MAX_NOTICE_MS, TimeUnit.MILLISECONDS)).isTrue();
            int attemptsBefore = attempts.size();
            Thread.sleep(1_500);

            assertThat(attempts).hasSize(attemptsBefore);
            assertThat(attempts.stream()
                            .filter(attempt -> attempt.channel().isOpen())
                            .count())
                    .isEqualTo(1);
        }
    }

    private ChannelFuture connect(Address address, int timeoutMs) {
        ChannelPromise attempt = new DefaultChannelPromise(new EmbeddedChannel(), loop);
        attempts.add(attempt);
        if (!cutOff) {
            loop.execute(() -> {
                attempt.setSuccess();
                connected.countDown();
            });
        }
        return attempt;
    }
}
