package org.siskintiller.integration;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Waits for conditions that other processes fulfil. */
final class Await {
    private static final long POLL_MS = 20;

    private Await() {}

    /** Polls until the condition holds; fails after the deadline with the last exception as cause. */
    static void until(String what, long deadlineMs, Callable<Boolean> condition) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs);
        Exception lastException = null;
        while (System.nanoTime() - endNs < 0) {
            try {
                if (condition.call()) {
                    return;
                }
                lastException = null;
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                lastException = e;
            }
            Thread.sleep(POLL_MS);
        }
        throw new AssertionError("not within " + deadlineMs + " ms: " + what, lastException);
    }
}
