package org.siskintiller.core.balance;

/**
 * Load of a backend server as its companion reports it.
 *
 * @param running requests in execution
 * @param queued requests that wait in the companion
 * @param slots requests that may run at once
 * @param meanServiceUs mean time in execution of successful requests in microseconds, 0 before the first one ended
 * @param workPercent present duration of work on the machine in percent of its mean, 0 if unknown
 */
public record BackendLoad(int running, int queued, int slots, int meanServiceUs, int workPercent) {
    public static final BackendLoad UNKNOWN = new BackendLoad(0, 0, 1, 0);

    public BackendLoad(int running, int queued, int slots, int meanServiceUs) {
        this(running, queued, slots, meanServiceUs, 0);
    }
}
