package org.siskintiller.node.peer;

/** Limits of the transport between companions. */
final class PeerLimits {
    /** A relayed snapshot of 5,200 sessions with their slots must fit into one frame. */
    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    static final int MAX_DATAGRAM_BYTES = 1200;
    static final int MAX_STREAMS = 2048;
    static final int MAX_CONNECTIONS = 8192;

    /** Maximum unread bytes in one direction of a stream; bounds the memory that a slow receiver uses. */
    static final int WINDOW_BYTES = 256 * 1024;

    static final int CHUNK_BYTES = 16 * 1024;
    static final int CONNECT_TIMEOUT_MS = 300;
    static final int WRITE_TIMEOUT_S = 5;

    /** A connection with open streams that receives nothing for this long, not even pings, is closed. */
    static final int READ_TIMEOUT_MS = 1000;

    static final int PING_INTERVAL_MS = 250;
    static final int IDLE_TIMEOUT_MS = 120_000;

    private PeerLimits() {}
}
