package org.siskintiller.router.request;

import java.util.Objects;

/**
 * Outcome of a send that may have run the request and returns no complete response.
 *
 * @param timedOut whether the deadline passed
 */
public record SendFailure(String detail, boolean timedOut) {

    public SendFailure {
        Objects.requireNonNull(detail, "detail");
    }
}
