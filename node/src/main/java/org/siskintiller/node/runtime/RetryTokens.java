package org.siskintiller.node.runtime;

/** Budget of retries: a tenth of the successes, with a small floor. */
final class RetryTokens {
    private static final double PER_SUCCESS = 0.1;
    private static final double LIMIT = 100;

    private double tokens = LIMIT / 2;

    synchronized void succeeded() {
        tokens = Math.min(LIMIT, tokens + PER_SUCCESS);
    }

    synchronized boolean take() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
