package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.siskintiller.core.balance.DelayEstimate;
import org.siskintiller.core.balance.Domain;
import org.siskintiller.core.balance.DomainExcess;
import org.siskintiller.core.balance.ServerChoice;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.request.ForwardedRequest;

/** Choices of backend servers in a large fleet, with metrics and log lines of requests that leave the failure domain. */
final class ServerSelection {
    private static final double PERCENT = 100;

    private final String ownDomain;
    private final Function<String, String> domainOf;
    private final Map<ServiceKind, ServerChoice> choices = new HashMap<>();
    private final Counter sentToOtherDomain;
    private final Counter withoutServer;
    private final Counter excess;
    private final Counter refused;

    /** @param domainOf returns the failure domain of an instance */
    ServerSelection(String ownDomain, Function<String, String> domainOf, MetricRegistry metrics) {
        this.ownDomain = ownDomain;
        this.domainOf = domainOf;
        this.sentToOtherDomain = metrics.counter("domain.left");
        this.withoutServer = metrics.counter("domain.left_no_server");
        this.excess = metrics.counter("domain.left_excess");
        this.refused = metrics.counter("domain.left_refused");
        metrics.gauge("domain.max_share_percent", () -> this::maxSharePercent);
    }

    Optional<String> choose(
            List<DelayEstimate> candidates,
            ForwardedRequest request,
            Set<String> excluded,
            long hopCostNs,
            long nowNs) {
        Map<String, List<DelayEstimate>> byDomain = new HashMap<>();
        for (DelayEstimate candidate : candidates) {
            byDomain.computeIfAbsent(domainOf.apply(candidate.instance()), name -> new ArrayList<>())
                    .add(candidate);
        }
        List<DelayEstimate> ofOwnDomain = byDomain.remove(ownDomain);
        Domain own = new Domain(ownDomain, ofOwnDomain == null ? List.of() : ofOwnDomain);
        List<Domain> others = new ArrayList<>();
        byDomain.forEach((name, servers) -> others.add(new Domain(name, servers)));
        DomainExcess.Needs needs = new DomainExcess.Needs(Math.max(0, request.objectiveNs() - nowNs), hopCostNs);
        ServiceKind serviceKind = new ServiceKind(request.service(), request.kind());
        ServerChoice choice = choices.computeIfAbsent(serviceKind, name -> new ServerChoice());
        double shareBefore = choice.share();
        Optional<ServerChoice.Choice> chosen =
                choice.choose(own, others, excluded, needs, nowNs, ThreadLocalRandom.current());
        logChange(serviceKind, shareBefore, choice.share(), own);
        chosen.ifPresent(server -> count(server.cause()));
        return chosen.map(ServerChoice.Choice::instance);
    }

    /** Counts a request that is sent to an instance, also one with a key, whose holder is not chosen here. */
    void sent(String instance) {
        if (!domainOf.apply(instance).equals(ownDomain)) {
            sentToOtherDomain.inc();
        }
    }

    private void count(DomainExcess.Cause cause) {
        switch (cause) {
            case NO_SERVER -> withoutServer.inc();
            case EXCESS -> excess.inc();
            case REFUSED -> refused.inc();
            default -> {}
        }
    }

    private static void logChange(ServiceKind serviceKind, double before, double after, Domain own) {
        if ((before == 0) == (after == 0)) {
            return;
        }
        EventLog.log(
                LogEvent.DOMAIN_SHARE_CHANGED,
                "service",
                serviceKind.service,
                "kind",
                serviceKind.kind,
                "share_percent",
                Math.round(after * PERCENT),
                "servers",
                own.servers().size(),
                "wait_ms",
                TimeUnit.NANOSECONDS.toMillis((long) own.waitNs()));
    }

    private long maxSharePercent() {
        double max = 0;
        // The metrics page is rendered on the event loop, like all changes of this map.
        for (ServerChoice choice : choices.values()) {
            max = Math.max(max, choice.share());
        }
        return Math.round(max * PERCENT);
    }

    private record ServiceKind(String service, RequestKind kind) {}
}
