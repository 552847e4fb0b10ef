package org.siskintiller.router.request;

import java.util.Objects;

/**
 * The request may have run, and no whole response will come.
 *
 * @param timedOut whether the deadline passed
 */
public record SendFailure(String detail, boolean timedOut) {

    public SendFailure {
        Objects.requireNonNull(detail, "detail");
    }
}
