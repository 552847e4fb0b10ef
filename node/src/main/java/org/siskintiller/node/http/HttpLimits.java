package org.siskintiller.node.http;

/** Limits on requests of callers. */
public record HttpLimits(int maxHeaderBytes, long maxBodyBytes, long requestTimeoutMs, int maxCallers) {

    public HttpLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 0 || requestTimeoutMs < 1 || maxCallers < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
