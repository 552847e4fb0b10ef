package org.siskintiller.router.request;

import java.util.List;

/**
 * Status and headers of a final response.
 *
 * @param length length of the body, or {@link #UNKNOWN_LENGTH}
 */
public record ResponseHead(int status, List<Header> headers, long length) {
    public static final long UNKNOWN_LENGTH = -1;

    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    public ResponseHead {
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new IllegalArgumentException("a final response cannot have the status " + status);
        }
        headers = List.copyOf(headers);
    }
}
