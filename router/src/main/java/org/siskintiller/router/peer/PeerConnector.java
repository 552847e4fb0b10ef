package org.siskintiller.router.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.siskintiller.core.model.Address;

/**
 * Attempts to connect to another companion until one succeeds. A new attempt begins at intervals, whether or not earlier ones
 * are pending: TCP repeats the first packet of an attempt only after seconds, so that one which began while the companion
 * was cut off notices the end late. The oldest attempt keeps its whole timeout, for a link that delays it by seconds.
 */
final class PeerConnector {
    /** TCP repeats the first packet after 1 s, and then after 2 s. */
    static final int TIMEOUT_MS = 2_800;

    private static final long MIN_INTERVAL_MS = 100;
    private static final long MAX_INTERVAL_MS = 800;
    /** An interval differs from its mean by up to this share of it, so that companions do not move in step. */
    private static final double INTERVAL_SPREAD = 0.25;
    /** Beyond this number, the oldest attempt but one is given up. */
    private static final int MAX_PENDING_ATTEMPTS = 3;

    private final EventLoop loop;
    private final FleetIntervals intervals;
    private final Connector connector;
    private final List<ChannelFuture> pending = new ArrayList<>();
    private ScheduledFuture<?> timer;
    private long intervalMs = MIN_INTERVAL_MS;

    PeerConnector(EventLoop loop, FleetIntervals intervals, Connector connector) {
        this.loop = loop;
        this.intervals = intervals;
        this.connector = connector;
    }

    /** Starts with an attempt. Ends the attempts that are pending. */
    void start(Address address) {
        stop();
        attempt(address);
    }

    /** As {@link #start}, after the interval. */
    void startLater(Address address) {
        stop();
        scheduleAttempt(address);
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
        List<ChannelFuture> ended = List.copyOf(pending);
        pending.clear();
        ended.forEach(attempt -> attempt.channel().close());
    }

    /** Starts again with short intervals after the next loss of a connection. */
    void resetInterval() {
        intervalMs = MIN_INTERVAL_MS;
    }

    private void attempt(Address address) {
        if (pending.size() >= MAX_PENDING_ATTEMPTS) {
            pending.remove(1).channel().close();
        }
        ChannelFuture attempt = connector.connect(address, TIMEOUT_MS);
        pending.add(attempt);
        scheduleAttempt(address);
        attempt.addListener(ended -> {
            boolean isAwaited = pending.remove(attempt);
            if (ended.isSuccess() && isAwaited) {
                stop();
            } else if (ended.isSuccess()) {
                attempt.channel().close();
            }
        });
    }

    private void scheduleAttempt(Address address) {
        double factor = 1 + INTERVAL_SPREAD * (2 * ThreadLocalRandom.current().nextDouble() - 1);
        timer = loop.schedule(() -> attempt(address), Math.round(intervalMs * factor), TimeUnit.MILLISECONDS);
        intervalMs = Math.min(intervals.scale(MAX_INTERVAL_MS), 2 * intervalMs);
    }

    /** Begins an attempt to connect. */
    interface Connector {
        ChannelFuture connect(Address address, int timeoutMs);
    }
}
