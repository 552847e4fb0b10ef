package org.siskintiller.router.request;

import java.util.List;

/**
 * Status and headers of a response.
 *
 * @param length length of the body, or {@link #UNKNOWN_LENGTH}
 */
public record ResponseHead(int status, List<Header> headers, long length) {
    public static final long UNKNOWN_LENGTH = -1;

    public ResponseHead {
        headers = List.copyOf(headers);
    }
}
