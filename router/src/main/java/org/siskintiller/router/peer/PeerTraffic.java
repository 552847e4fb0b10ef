package org.siskintiller.router.peer;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/**
 * Bytes between this companion and others by kind of frame, and the time that frames wait: in this process until the socket
 * takes them, and on the way until the other one handles them. Used on the event loop only.
 */
public final class PeerTraffic {
    private static final long LOG_INTERVAL_MS = 1_000;
    /** Delay from which frames count as waiting: a caller's shortest objective is some hundred milliseconds. */
    private static final long LOGGED_DELAY_MS = 100;

    private final Map<Frame.KindCase, Counter> sent = new EnumMap<>(Frame.KindCase.class);
    private final Map<Frame.KindCase, Long> logged = new EnumMap<>(Frame.KindCase.class);
    private Longest write = Longest.NONE;
    private Longest transit = Longest.NONE;
    /** Longest waits of the last whole interval. A histogram of all frames would cost more than counting them. */
    private long lastWriteMs;

    private long lastTransitMs;

    public PeerTraffic(EventLoop loop, MetricRegistry metrics) {
        metrics.gauge("peer.write_wait_ms", () -> () -> lastWriteMs);
        metrics.gauge("peer.transit_ms", () -> () -> lastTransitMs);
        for (Frame.KindCase kind : Frame.KindCase.values()) {
            sent.put(kind, metrics.counter("peer.sent_bytes." + name(kind)));
        }
        loop.scheduleWithFixedDelay(this::logDelays, LOG_INTERVAL_MS, LOG_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    void sent(Frame frame) {
        sent.get(frame.getKindCase()).inc(frame.getSerializedSize());
    }

    /** Counts a frame that the socket has taken, or that was dropped with its connection. */
    void written(String peer, Frame.KindCase kind, long waitNs) {
        write = write.or(peer, kind, TimeUnit.NANOSECONDS.toMillis(waitNs));
    }

    void received(String peer, Frame.KindCase kind, long transitMs) {
        transit = transit.or(peer, kind, transitMs);
    }

    private void logDelays() {
        if (write.ms >= LOGGED_DELAY_MS || transit.ms >= LOGGED_DELAY_MS) {
            EventLog.log(
                    LogEvent.PEER_LINK_SLOW,
                    "write_ms",
                    write.ms,
                    "to",
                    write.peer,
                    "write_kind",
                    name(write.kind),
                    "transit_ms",
                    transit.ms,
                    "from",
                    transit.peer,
                    "transit_kind",
                    name(transit.kind),
                    "sent_bytes",
                    String.join(" ", sentSinceLog()));
        }
        sent.forEach((kind, counter) -> logged.put(kind, counter.getCount()));
        lastWriteMs = write.ms;
        lastTransitMs = transit.ms;
        write = Longest.NONE;
        transit = Longest.NONE;
    }

    private List<String> sentSinceLog() {
        List<String> bytes = new ArrayList<>();
        sent.forEach((kind, counter) -> {
            long added = counter.getCount() - logged.getOrDefault(kind, 0L);
            if (added > 0) {
                bytes.add(name(kind) + "=" + added);
            }
        });
        return bytes;
    }

    private static String name(Frame.KindCase kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    /** Longest wait of an interval. */
    private record Longest(String peer, Frame.KindCase kind, long ms) {
        private static final Longest NONE = new Longest("", Frame.KindCase.KIND_NOT_SET, 0);

        private Longest or(String otherPeer, Frame.KindCase otherKind, long otherMs) {
            return otherMs > ms ? new Longest(otherPeer, otherKind, otherMs) : this;
        }
    }
}
