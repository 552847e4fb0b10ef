package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.core.spread.SpreadPlan;
import org.siskintiller.core.supply.ReaderChoice;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.peer.ConfigUpdate;
import org.siskintiller.router.peer.FleetIntervals;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.PeerStatus;
import org.siskintiller.router.store.StoredRecord;

/**
 * Decides from the connected companions whether this one reads the store or is supplied by others, and passes what it has
 * read on to those that it supplies.
 */
public final class StoreSupply {
    /** Interval at which the choice of readers is computed again. */
    private static final long REFRESH_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Member self;
    private final ControlState state;
    private final PeerDirectory peers;
    private final RecordSender sender;
    private final Counter sentConfigBytes;
    private Set<String> readers = Set.of();
    private boolean hasSupplier;
    private boolean isDistributor;
    private int connectedCount = 1;
    private long refreshedNs = Long.MIN_VALUE / 2;
    private boolean alwaysReads;
    private boolean reachesStore;

    public StoreSupply(Member self, ControlState state, PeerDirectory peers, MetricRegistry metrics) {
        this.self = self;
        this.state = state;
        this.peers = peers;
        this.sender = new RecordSender(state);
        this.sentConfigBytes = metrics.counter("config.sent_bytes");
        metrics.gauge("peers.connected", () -> this::connectedPeers);
        metrics.gauge("store.era", () -> state::era);
        metrics.gauge("store.lost_tables", () -> () -> state.lostTables().size());
        metrics.gauge("keys.rows", () -> state::rows);
        metrics.gauge("keys.last_fence", () -> state::lastFence);
    }

    RecordSender sender() {
        return sender;
    }

    /** Sets whether this companion reads in any case, because it must know the present state of the store. */
    void setAlwaysReads(boolean reads) {
        alwaysReads = reads;
    }

    /** Sets whether the latest read of this companion neither failed nor is overdue. */
    void setReachesStore(boolean reaches) {
        reachesStore = reaches;
    }

    /** Whether other companions pass new records on to this one, so that it need not read. */
    public boolean isSupplied() {
        refresh();
        return !alwaysReads && !readers.contains(self.instance()) && hasSupplier;
    }

    /** Minimum time between the starts of two reads of a topic. */
    public long minReadIntervalMs() {
        refresh();
        int notConnected = Math.max(0, state.members().size() - connectedCount);
        return FleetIntervals.minReadIntervalMs(readers.size(), notConnected);
    }

    /** Maximum time between the starts of two reads of a topic while the store is out of reach. */
    public long maxRetryIntervalMs() {
        refresh();
        boolean isReader = alwaysReads || readers.contains(self.instance());
        return FleetIntervals.maxRetryIntervalMs(isReader ? 1 : connectedCount);
    }

    /** Passes records of the store on to the companions that this one supplies. */
    void passOn(List<StoredRecord> records) {
        if (!records.isEmpty()) {
            suppliedClients().forEach(client -> sender.send(client, records, false));
        }
    }

    /** Passes the evacuations on to the companions that this one supplies. */
    void passOnEvacuations(List<Evacuation> evacuations) {
        suppliedClients().forEach(client -> client.shareEvacuations(evacuations));
    }

    /** Passes a configuration of the store on to the other companions of the domain, unless another reader does. */
    void passOn(ConfigUpdate update) {
        refresh();
        if (!isDistributor) {
            return;
        }
        List<String> recipients =
                suppliedClients().stream().map(PeerClient::instance).toList();
        passOn(update, recipients);
    }

    /** Passes a configuration on to the recipients that are connected. Others ask for it. */
    void passOn(ConfigUpdate update, List<String> recipients) {
        long startNs = System.nanoTime();
        List<String> responsive = recipients.stream()
                .filter(instance -> peers.client(instance)
                        .filter(client -> client.responsive(startNs))
                        .isPresent())
                .toList();
        List<SpreadPlan.Copy> copies = SpreadPlan.of(responsive, update.bytes());
        int[] unwritten = {copies.size()};
        for (SpreadPlan.Copy copy : copies) {
            sentConfigBytes.inc(update.bytes());
            peers.client(copy.receiver())
                    .ifPresent(client -> client.shareConfig(update, copy.relayTo(), () -> {
                        if (--unwritten[0] == 0) {
                            logPassedOn(update, responsive.size(), copies.size(), startNs);
                        }
                    }));
        }
    }

    /** Whether this companion reads the store for others. */
    boolean readsForOthers() {
        refresh();
        return connectedCount > 1 && readers.contains(self.instance());
    }

    /** Logs how long it took until the sockets had accepted all copies. */
    private static void logPassedOn(ConfigUpdate update, int recipients, int copies, long startNs) {
        EventLog.log(
                LogEvent.CONFIG_PASSED_ON,
                "version",
                update.version(),
                "base",
                update.baseVersion(),
                "recipients",
                recipients,
                "copies",
                copies,
                "bytes_each",
                update.bytes(),
                "write_ms",
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
    }

    private List<PeerClient> suppliedClients() {
        refresh();
        List<PeerClient> supplied = new ArrayList<>();
        if (!readers.contains(self.instance())) {
            return supplied;
        }
        for (PeerClient client : peers.clients()) {
            if (!readers.contains(client.instance()) && domainOf(client).equals(self.failureDomain())) {
                supplied.add(client);
            }
        }
        return supplied;
    }

    private void refresh() {
        long nowNs = System.nanoTime();
        if (nowNs - refreshedNs < REFRESH_INTERVAL_NS) {
            return;
        }
        refreshedNs = nowNs;
        List<ReaderChoice.Companion> connected = new ArrayList<>();
        ReaderChoice.Companion own = new ReaderChoice.Companion(self.instance(), self.failureDomain(), 0, reachesStore);
        connected.add(own);
        for (PeerClient client : peers.clients()) {
            PeerStatus status = client.status().orElse(null);
            if (status != null && client.responsive(nowNs)) {
                connected.add(new ReaderChoice.Companion(
                        client.instance(), domainOf(client), status.storeAgeMs(), status.reachesStore()));
            }
        }
        connectedCount = connected.size();
        readers = ReaderChoice.readers(connected);
        isDistributor = ReaderChoice.distributor(self.failureDomain(), connected, readers)
                .filter(self.instance()::equals)
                .isPresent();
        hasSupplier = ReaderChoice.hasSupplier(own, connected, readers);
    }

    private long connectedPeers() {
        return peers.clients().stream()
                .filter(client -> client.status().isPresent())
                .count();
    }

    private String domainOf(PeerClient client) {
        Member member = state.members().get(client.instance());
        return member == null ? "" : member.failureDomain();
    }
}
