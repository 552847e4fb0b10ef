package org.siskintiller.ctl;

import java.util.concurrent.TimeUnit;

/** Monotonic time and sleep, replaced in tests so that they need not wait. */
interface TimeSource {

    long nowMs();

    void sleepMs(long ms);

    /** Returns the clock of this machine. An interrupt ends a sleep, and the thread's interrupt flag stays set. */
    static TimeSource system() {
        return new TimeSource() {
            @Override
            public long nowMs() {
                return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            }

            @Override
            public void sleepMs(long ms) {
                try {
                    Thread.sleep(ms);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
    }
}
