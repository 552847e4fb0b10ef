package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.siskintiller.core.balance.CandidateSample;
import org.siskintiller.core.balance.DelayEstimate;
import org.siskintiller.core.balance.ExpectedLoad;
import org.siskintiller.core.balance.LeastDelay;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.peer.FleetIntervals;
import org.siskintiller.router.peer.LinkPacer;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.PeerEvents;
import org.siskintiller.router.peer.PeerIdentity;
import org.siskintiller.router.peer.PeerStatus;
import org.siskintiller.router.peer.PeerTraffic;
import org.siskintiller.router.request.Backends;
import org.siskintiller.router.request.Destination;
import org.siskintiller.router.request.ForwardedRequest;

/** Connections to all other companions, and the backend servers behind them. */
public final class PeerDirectory implements Backends {
    /** Added to the delay estimate in another failure domain: bytes between domains cost, and latency is about 2 ms. */
    private static final long OTHER_DOMAIN_COST_NS = TimeUnit.MILLISECONDS.toNanos(25);
    /** As above for a download, whose response is many times larger. */
    private static final long OTHER_DOMAIN_DOWNLOAD_COST_NS = TimeUnit.MILLISECONDS.toNanos(120);
    /** As above for another machine in the same failure domain. */
    private static final long OTHER_MACHINE_COST_NS = TimeUnit.MILLISECONDS.toNanos(1);
    /** Companions before and after a lagging one, in the order of names, that supply it: it tolerates three losses. */
    private static final int SUPPLIERS_PER_SIDE = 2;
    /** Weight of the newest result in the moving average of failures. */
    private static final double NEWEST_RESULT_WEIGHT = 0.1;

    private final String self;
    private final PeerIdentity identity;
    private final String ownDomain;
    private final String ownService;
    private final LinkPacer pacer;
    private final PeerTraffic traffic;
    private final ControlState state;
    private final BackendGate gate;
    private final FleetIntervals intervals;
    private final ServerSelection selection;
    private final Map<String, PeerClient> clients = new HashMap<>();
    private final Map<String, Double> failureRates = new HashMap<>();
    private PeerEvents events;

    public PeerDirectory(
            ControlSettings settings,
            LinkPacer pacer,
            PeerTraffic traffic,
            ControlState state,
            BackendGate gate,
            FleetIntervals intervals,
            MetricRegistry metrics) {
        Member member = settings.self();
        this.self = member.instance();
        this.identity = settings.identity();
        this.ownDomain = member.failureDomain();
        this.ownService = member.service();
        this.pacer = pacer;
        this.traffic = traffic;
        this.state = state;
        this.gate = gate;
        this.intervals = intervals;
        this.selection = new ServerSelection(ownDomain, this::domainOf, metrics);
    }

    public void listen(PeerEvents listener) {
        events = listener;
    }

    /** Connects to new members, reconnects to those with a new address and disconnects from removed ones. */
    public void membersChanged() {
        intervals.setCompanions(state.members().size());
        for (Member member : state.members().values()) {
            if (member.instance().equals(self)) {
                continue;
            }
            PeerClient client = clients.get(member.instance());
            if (client == null) {
                client = new PeerClient(
                        identity, member.instance(), member.address(), intervals, pacer, traffic, events);
                clients.put(member.instance(), client);
                client.connect();
            } else {
                client.moveTo(member.address());
            }
        }
        List<String> removed = new ArrayList<>(clients.keySet());
        removed.removeAll(state.members().keySet());
        for (String instance : removed) {
            clients.remove(instance).close();
        }
    }

    /**
     * Whether this companion sends records and configurations to another one that lags. In a large fleet only its
     * neighbors in the order of names do, so that it does not receive the same data from all.
     */
    boolean suppliesUpdatesTo(String instance) {
        if (intervals.isSmallFleet()) {
            return true;
        }
        List<String> names = List.copyOf(state.members().keySet());
        int distance = Math.abs(names.indexOf(self) - names.indexOf(instance));
        return Math.min(distance, names.size() - distance) <= SUPPLIERS_PER_SIDE;
    }

    FleetIntervals intervals() {
        return intervals;
    }

    public Collection<PeerClient> clients() {
        return clients.values();
    }

    public Optional<PeerClient> client(String instance) {
        return Optional.ofNullable(clients.get(instance));
    }

    /** Loads of a small fleet are recent, so that the server with the shortest delay by its last report is chosen. */
    @Override
    public Optional<String> choose(ForwardedRequest request, Set<String> excluded) {
        long nowNs = System.nanoTime();
        List<DelayEstimate> candidates = candidates(request.service(), request.kind(), nowNs);
        if (intervals.isSmallFleet()) {
            return LeastDelay.choose(CandidateSample.of(candidates, ThreadLocalRandom.current()), excluded);
        }
        return selection.choose(candidates, request, excluded, otherDomainCostNs(request.kind()), nowNs);
    }

    private List<DelayEstimate> candidates(String service, RequestKind kind, long nowNs) {
        List<DelayEstimate> candidates = new ArrayList<>();
        if (service.equals(ownService) && gate.isAvailable(nowNs)) {
            candidates.add(new DelayEstimate(self, gate.load(), 0, failureRate(self), 0));
        }
        for (PeerClient client : clients.values()) {
            PeerStatus status = client.status().orElse(null);
            boolean isUsable = client.responsive(nowNs)
                    && status != null
                    && status.serving()
                    && !state.isEvacuated(client.instance());
            if (!isUsable || !status.service().equals(service)) {
                continue;
            }
            candidates.add(new DelayEstimate(
                    client.instance(),
                    expectedLoad(client, nowNs),
                    failureRate(client.instance()),
                    pathCostNs(client.instance(), kind)));
        }
        return candidates;
    }

    private ExpectedLoad expectedLoad(PeerClient client, long nowNs) {
        return intervals.isSmallFleet()
                ? client.view().asReported(client.sentSinceReport(), nowNs)
                : client.view().expected(client.inFlight(), nowNs);
    }

    @Override
    public Optional<Destination> destination(String instance) {
        if (instance.equals(self)) {
            return Optional.of(gate);
        }
        PeerClient client = clients.get(instance);
        return client != null && client.responsive(System.nanoTime()) ? Optional.of(client) : Optional.empty();
    }

    @Override
    public Optional<String> holderOf(String service, int key) {
        return state.table(service).flatMap(table -> table.grantOf(key)).map(KeyGrant::holder);
    }

    @Override
    public boolean isEvacuated(String service) {
        boolean hasMember = false;
        for (Member member : state.members().values()) {
            if (member.service().equals(service)) {
                hasMember = true;
                if (!state.evacuatedDomains().isEvacuated(member.failureDomain())) {
                    return false;
                }
            }
        }
        return hasMember;
    }

    @Override
    public void requestSent(String instance) {
        client(instance).ifPresent(PeerClient::countSentRequest);
        selection.sent(instance);
    }

    @Override
    public void requestEnded(String instance, boolean failed) {
        double rate = failureRate(instance);
        failureRates.put(instance, rate + NEWEST_RESULT_WEIGHT * ((failed ? 1 : 0) - rate));
    }

    private double failureRate(String instance) {
        return failureRates.getOrDefault(instance, 0.0);
    }

    private long pathCostNs(String instance, RequestKind kind) {
        return domainOf(instance).equals(ownDomain) ? OTHER_MACHINE_COST_NS : otherDomainCostNs(kind);
    }

    /** Returns the failure domain of an instance, or an empty name if the instance is no member. */
    private String domainOf(String instance) {
        if (instance.equals(self)) {
            return ownDomain;
        }
        Member member = state.members().get(instance);
        return member == null ? "" : member.failureDomain();
    }

    private static long otherDomainCostNs(RequestKind kind) {
        return kind == RequestKind.DOWNLOAD ? OTHER_DOMAIN_DOWNLOAD_COST_NS : OTHER_DOMAIN_COST_NS;
    }
}
