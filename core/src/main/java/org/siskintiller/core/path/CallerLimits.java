package org.siskintiller.core.path;

/** Limits on callers: bytes of headers and body, and times to send the headers and to stay idle. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Applies until a configuration is in force. */
    public static final CallerLimits INITIAL = new CallerLimits(16_384, 64L << 20, 3_000, 15_000);
}
