package org.siskintiller.node.runtime;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/** Metrics of the companion. */
public final class NodeMetrics {
    private final MetricRegistry registry = new MetricRegistry();

    public MetricRegistry registry() {
        return registry;
    }

    void served(String rank, long durationNs) {
        registry.timer("requests." + rank).update(durationNs, TimeUnit.NANOSECONDS);
    }

    void refused(String type) {
        registry.counter("refused." + type).inc();
    }

    void retried() {
        registry.counter("retries").inc();
    }

    void control(String name) {
        registry.counter("control." + name).inc();
    }

    /** Registers a gauge unless it is known already. */
    void gauge(String name, Gauge<? extends Number> gauge) {
        registry.gauge(name, () -> gauge);
    }
}
