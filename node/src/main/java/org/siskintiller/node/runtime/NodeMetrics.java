package org.siskintiller.node.runtime;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.siskintiller.node.http.CallerServer;
import org.siskintiller.node.peer.PeerTransport;

/** Metrics of the companion. */
public final class NodeMetrics {
    private final MetricRegistry registry = new MetricRegistry();

    public MetricRegistry registry() {
        return registry;
    }

    void recordServed(String rank, long durationNs) {
        registry.timer("requests." + rank).update(durationNs, TimeUnit.NANOSECONDS);
    }

    void recordRefused(String type) {
        registry.counter("refused." + type).inc();
    }

    void recordRetry() {
        registry.counter("retries").inc();
    }

    void recordNotice(String name) {
        registry.counter("control." + name).inc();
    }

    /** Registers gauges of the current incarnation and of the sockets. */
    void register(Supplier<Optional<Generation>> generation, PeerTransport transport, CallerServer callers) {
        gauge("callers", callers::running);
        gauge("peer_connections", transport::connectionCount);
        gauge(generation, "lease_held", current -> current.control().holdsLease() ? 1 : 0);
        gauge(generation, "log_available", current -> current.logAvailable() ? 1 : 0);
        gauge(generation, "applied_offset", current -> current.control().state().appliedOffset());
        gauge(generation, "config_version", current -> current.control().state().configVersion());
        gauge(generation, "open_sessions", current -> current.control().state().openSessionCount());
        gauge(generation, "open_slots", current -> current.gate().stats().openSlots());
        gauge(generation, "gate_queued", current -> current.gate().stats().queued());
        gauge(generation, "gate_in_flight", current -> current.gate().stats().inFlight());
        gauge(generation, "gate_limit", current -> current.gate().stats().limit());
        gauge(generation, "gate_dispatched", current -> current.gate().stats().dispatched());
    }

    private void gauge(Supplier<Optional<Generation>> generation, String name, Function<Generation, Number> value) {
        gauge(name, () -> generation.get().map(value).orElse(0));
    }

    private void gauge(String name, Supplier<Number> value) {
        Gauge<Number> gauge = value::get;
        registry.gauge(name, () -> gauge);
    }
}
