package org.siskintiller.integration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Requests each key at a fixed rate until it is served, without waiting for earlier responses. */
final class KeyPoller implements AutoCloseable {
    private static final long INTERVAL_MS = 20;
    private static final long DEADLINE_MS = 20_000;

    private final List<TestInstance> targets;
    private final List<String> keys;
    private final Map<String, Long> servedNs = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private long rounds;

    KeyPoller(List<TestInstance> targets, List<String> keys) {
        this.targets = targets;
        this.keys = keys;
        timer.scheduleAtFixedRate(this::poll, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        TestInstance target = targets.get((int) (rounds++ % targets.size()));
        for (String key : keys) {
            if (!servedNs.containsKey(key)) {
                Http.lookup(target.http(), key, key + "/" + rounds).thenAccept(reply -> {
                    if (reply.isOk()) {
                        servedNs.putIfAbsent(key, System.nanoTime());
                    }
                });
            }
        }
    }

    /** Waits until all keys are served and returns the times of their first successful responses. */
    List<Long> awaitServed() throws InterruptedException {
        Await.until("all keys are served", DEADLINE_MS, () -> servedNs.size() == keys.size());
        return new ArrayList<>(servedNs.values());
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
