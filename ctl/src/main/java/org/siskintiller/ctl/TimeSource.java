package org.siskintiller.ctl;

import java.util.concurrent.TimeUnit;

/** Monotonic time and waiting. Tests replace it, so that they need no time. */
interface TimeSource {

    long nowMs();

    void sleepMs(long ms);

    /** Time of this machine. An interrupt ends a wait and stays set. */
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
