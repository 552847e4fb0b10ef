package org.siskintiller.node.runtime;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Creates named daemon threads and executors. */
final class Threads {
    private static final long IDLE_TIMEOUT_S = 30;

    private Threads() {}

    static ThreadFactory factory(String name) {
        AtomicInteger number = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            thread.setUncaughtExceptionHandler(
                    (failed, cause) -> EventLog.log(LogEvent.UNEXPECTED_ERROR, failed.getName(), cause));
            return thread;
        };
    }

    static ScheduledExecutorService scheduled(String name) {
        return Executors.newSingleThreadScheduledExecutor(factory(name));
    }

    static ExecutorService single(String name) {
        return Executors.newSingleThreadExecutor(factory(name));
    }

    /** Creates a pool that never queues: each task starts at once, and tasks beyond the limit are rejected. */
    static ExecutorService bounded(String name, int limit) {
        return new ThreadPoolExecutor(
                0, limit, IDLE_TIMEOUT_S, TimeUnit.SECONDS, new SynchronousQueue<>(), factory(name));
    }

    /** Wraps a periodic task so that a failure is logged and does not end the task. */
    static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                EventLog.log(LogEvent.UNEXPECTED_ERROR, "periodic task", e);
            }
        };
    }
}
