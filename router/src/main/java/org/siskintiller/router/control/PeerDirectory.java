package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.siskintiller.core.balance.CandidateSample;
import org.siskintiller.core.balance.DelayEstimate;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.peer.FleetIntervals;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.PeerEvents;
import org.siskintiller.router.peer.PeerStatus;
import org.siskintiller.router.request.Backends;
import org.siskintiller.router.request.Destination;

/** Connections to all other companions, and the backend servers behind them. */
public final class PeerDirectory implements Backends {
    /** Price of the way to another failure domain: bytes between domains cost, and it takes about 2 ms. */
    private static final long OTHER_DOMAIN_NS = TimeUnit.MILLISECONDS.toNanos(25);
    /** The same for a download, whose response is many times larger. */
    private static final long OTHER_DOMAIN_DOWNLOAD_NS = TimeUnit.MILLISECONDS.toNanos(120);
    /** The same for another machine of the own domain. */
    private static final long OTHER_MACHINE_NS = TimeUnit.MILLISECONDS.toNanos(1);
    /** Companions on either side, in the order of names, that supply one that lags: three lost ones do not cut it off. */
    private static final int SUPPLIERS_EACH_SIDE = 2;
    /** Weight of the newest result in a failure rate. */
    private static final double FAILURE_WEIGHT = 0.1;

    private final String self;
    private final String ownDomain;
    private final String ownService;
    private final EventLoop loop;
    private final ControlState state;
    private final BackendGate gate;
    private final FleetIntervals intervals;
    private final Map<String, PeerClient> clients = new HashMap<>();
    private final Map<String, Double> failureRates = new HashMap<>();
    private PeerEvents events;

    public PeerDirectory(
            String self,
            String ownDomain,
            String ownService,
            EventLoop loop,
            ControlState state,
            BackendGate gate,
            FleetIntervals intervals) {
        this.self = self;
        this.ownDomain = ownDomain;
        this.ownService = ownService;
        this.loop = loop;
        this.state = state;
        this.gate = gate;
        this.intervals = intervals;
    }

    public void listen(PeerEvents listener) {
        events = listener;
    }

    /** Connects to new members, follows moved ones and drops those that are gone. */
    public void membersChanged() {
        intervals.setCompanions(state.members().size());
        for (Member member : state.members().values()) {
            if (member.instance().equals(self)) {
                continue;
            }
            PeerClient client = clients.get(member.instance());
            if (client == null) {
                client = new PeerClient(self, member.instance(), member.address(), loop, intervals, events);
                clients.put(member.instance(), client);
                client.connect();
            } else {
                client.moveTo(member.address());
            }
        }
        List<String> gone = new ArrayList<>(clients.keySet());
        gone.removeAll(state.members().keySet());
        for (String instance : gone) {
            clients.remove(instance).close();
        }
    }

    /**
     * Whether this companion passes records and configurations on to the other one. In a large fleet only the next ones
     * in the order of names do, so that one that lags is not sent the same by all.
     */
    boolean suppliesNews(String instance) {
        if (intervals.isSmallFleet()) {
            return true;
        }
        List<String> order = List.copyOf(state.members().keySet());
        int distance = Math.abs(order.indexOf(self) - order.indexOf(instance));
        return Math.min(distance, order.size() - distance) <= SUPPLIERS_EACH_SIDE;
    }

    public Collection<PeerClient> clients() {
        return clients.values();
    }

    public Optional<PeerClient> client(String instance) {
        return Optional.ofNullable(clients.get(instance));
    }

    @Override
    public List<DelayEstimate> candidates(String service, RequestKind kind) {
        List<DelayEstimate> candidates = new ArrayList<>();
        long nowNs = System.nanoTime();
        if (service.equals(ownService) && gate.attracts(nowNs)) {
            candidates.add(new DelayEstimate(self, gate.load(), 0, failureRate(self), 0));
        }
        for (PeerClient client : clients.values()) {
            PeerStatus status = client.status().orElse(null);
            boolean usable = client.responsive(nowNs) && status != null && status.serving();
            if (!usable || !status.service().equals(service)) {
                continue;
            }
            candidates.add(new DelayEstimate(
                    client.instance(),
                    client.load(),
                    client.sentSinceReport(),
                    failureRate(client.instance()),
                    wayNs(client.instance(), kind)));
        }
        return CandidateSample.of(candidates, ThreadLocalRandom.current());
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
    public void sent(String instance) {
        client(instance).ifPresent(PeerClient::noteSent);
    }

    @Override
    public void ended(String instance, boolean failed) {
        double rate = failureRate(instance);
        failureRates.put(instance, rate + FAILURE_WEIGHT * ((failed ? 1 : 0) - rate));
    }

    private double failureRate(String instance) {
        return failureRates.getOrDefault(instance, 0.0);
    }

    private long wayNs(String instance, RequestKind kind) {
        Member member = state.members().get(instance);
        boolean sameDomain = member != null && member.failureDomain().equals(ownDomain);
        if (sameDomain) {
            return OTHER_MACHINE_NS;
        }
        return kind == RequestKind.DOWNLOAD ? OTHER_DOMAIN_DOWNLOAD_NS : OTHER_DOMAIN_NS;
    }
}
