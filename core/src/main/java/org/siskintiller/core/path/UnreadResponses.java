package org.siskintiller.core.path;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides what happens to callers that do not read their responses, by the bytes that are buffered for them.
 *
 * <p>Load pattern: a few hundred callers stop to read for seconds, each with responses of up to 256 KB, which together
 * exceed the heap of 64 MB. Their backend servers have sent all of it, so that nothing else limits them.
 *
 * @param <C> identifies the connection of a caller
 */
public final class UnreadResponses<C> {
    /** About a fifth of the heap of a companion. */
    public static final long DEFAULT_LIMIT_BYTES = 12L * 1024 * 1024;

    /** Two responses of the size up to which they are buffered whole. */
    private static final long MAX_CONNECTION_BYTES = 512 * 1024;
    /** Share of the limit from which callers that read slowly are restricted, before new requests are refused. */
    private static final double SCARCE_SHARE = 2.0 / 3;
    /** Time after which a caller that has taken nothing loses its responses while memory is short; longer than deadlines. */
    private static final long STALLED_NS = 7_000_000_000L;

    private final long limitBytes;
    private final long scarceBytes;
    private final Map<C, Unread> connections = new HashMap<>();
    private long totalBytes;

    public UnreadResponses(long limitBytes) {
        this.limitBytes = limitBytes;
        this.scarceBytes = Math.round(limitBytes * SCARCE_SHARE);
    }

    /** Counts bytes that were buffered for a connection. */
    public void buffered(C connection, int bytes, long nowNs) {
        if (bytes > 0) {
            connections.computeIfAbsent(connection, key -> new Unread(nowNs)).bytes += bytes;
            totalBytes += bytes;
        }
    }

    /** Counts bytes that were handed to the network, which takes them only while the caller reads. */
    public void taken(C connection, int bytes, long nowNs) {
        Unread unread = connections.get(connection);
        if (unread == null || bytes == 0) {
            return;
        }
        unread.bytes -= bytes;
        unread.lastTakenNs = nowNs;
        totalBytes -= bytes;
        if (unread.bytes <= 0) {
            connections.remove(connection);
        }
    }

    /** The connection has ended. */
    public void removed(C connection) {
        Unread unread = connections.remove(connection);
        if (unread != null) {
            totalBytes -= unread.bytes;
        }
    }

    public long totalBytes() {
        return totalBytes;
    }

    /** Whether new requests are refused: memory for their responses is lacking. */
    public boolean isFull() {
        return totalBytes >= limitBytes;
    }

    /** Whether callers that read slowly are restricted. */
    public boolean isScarce() {
        return totalBytes >= scarceBytes;
    }

    /** Whether no further request is read from a connection, since its caller has not read the responses to earlier ones. */
    public boolean pauses(C connection) {
        Unread unread = connections.get(connection);
        return unread != null && (unread.bytes >= MAX_CONNECTION_BYTES || isScarce());
    }

    /** Connections to close, those that have taken nothing for the longest time first, until memory is available. */
    public List<C> overdue(long nowNs) {
        List<C> overdue = new ArrayList<>();
        if (!isScarce()) {
            return overdue;
        }
        List<Map.Entry<C, Unread>> oldestFirst = new ArrayList<>(connections.entrySet());
        oldestFirst.sort(Comparator.comparingLong(entry -> entry.getValue().lastTakenNs - nowNs));
        long remainingBytes = totalBytes;
        for (Map.Entry<C, Unread> entry : oldestFirst) {
            boolean isStalled = nowNs - entry.getValue().lastTakenNs >= STALLED_NS;
            if (!isStalled || remainingBytes < scarceBytes) {
                break;
            }
            remainingBytes -= entry.getValue().bytes;
            overdue.add(entry.getKey());
        }
        return overdue;
    }

    private static final class Unread {
        private long bytes;
        private long lastTakenNs;

        private Unread(long nowNs) {
            lastTakenNs = nowNs;
        }
    }
}
