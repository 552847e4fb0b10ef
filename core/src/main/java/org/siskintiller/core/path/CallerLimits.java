package org.siskintiller.core.path;

/** Limits on callers: maximum bytes of headers and body, and the time after which an idle connection is closed. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long idleTimeoutMs) {
    /** Applies until a configuration is in force. */
    public static final CallerLimits INITIAL = new CallerLimits(16_384, 64L << 20, 15_000);
}
