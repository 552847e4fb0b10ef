package org.siskintiller.router.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.core.lease.StoreEra;
import org.siskintiller.core.path.RouteTable;
import org.siskintiller.core.spread.Patience;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.peer.ConfigUpdate;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.PeerStatus;
import org.siskintiller.router.request.RequestRouter;
import org.siskintiller.router.store.StoreFeeds;
import org.siskintiller.router.store.StoreTopic;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.router.store.TopicFeed;

/**
 * Applies the operator's newest configuration, from the store or from other companions. Within a process the version never
 * decreases.
 */
public final class ConfigFeed implements TopicFeed.FeedListener {
    /** Mean. A stalled connection to the store must be detected within 5 s, by when a new configuration must be applied. */
    static final long READ_WAIT_MS = 3_200;

    /** Size of a configuration over that of its compressed form, about. */
    private static final int COMPRESSION_RATIO = 8;

    private final ConfigDecoder decoder;
    private final RequestRouter router;
    private final PeerDirectory peers;
    private final TopicFeed feed;
    private final StoreSupply supply;
    private final Evacuations evacuations;
    private final ConfigArchive archive = new ConfigArchive();
    private final Patience patience = new Patience();
    /** Configurations of the present read, the newest one first. */
    private final Deque<byte[]> readConfigs = new ArrayDeque<>();

    private final Timer decodeTimer;
    private final Counter copies;
    private final Counter sentBytes;
    private volatile RouteTable routes;
    private int updateBytes;
    /** Whether the present read returns the newest records of all keys. */
    private boolean isFullRead;
    /** Whether the store may have lost records that the operator has not written again. */
    private boolean isRestored;

    private Runnable versionListener = () -> {};
    private Consumer<RouteTable> applyListener = applied -> {};

    public ConfigFeed(
            StoreFeeds feeds,
            StoreSupply supply,
            Evacuations evacuations,
            PeerDirectory peers,
            ConfigDecoder decoder,
            RequestRouter router,
            MetricRegistry metrics) {
        this.decoder = decoder;
        this.router = router;
        this.peers = peers;
        this.decodeTimer = metrics.timer("config.decode");
        this.copies = metrics.counter("config.copies");
        this.sentBytes = metrics.counter("config.sent_bytes");
        metrics.gauge("config.version", () -> this::version);
        this.supply = supply;
        this.evacuations = evacuations;
        this.feed = feeds.create(StoreTopic.OPERATOR, new FleetReadPace(supply, () -> READ_WAIT_MS, () -> 0), this);
    }

    /** Starts to read. The listener runs when a reader of the store applies a version that other companions may lack. */
    public void start(Runnable newVersionListener) {
        versionListener = newVersionListener;
        feed.start();
    }

    /** Sets what else applies a configuration. */
    public void onApply(Consumer<RouteTable> listener) {
        applyListener = listener;
    }

    @Override
    public void record(StoredRecord record) {
        if (record.key().equals(decoder.key()) && record.value().length > 0) {
            readConfigs.addFirst(record.value());
        }
        decoder.evacuatedDomain(record.key())
                .map(domain -> new Evacuation(domain, record.value().length > 0, record.position()))
                .ifPresent(evacuations::recordRead);
    }

    @Override
    public void caughtUp() {
        isFullRead = true;
    }

    @Override
    public void eraChanged(long era) {
        isRestored = true;
    }

    /** Applies the newest valid configuration of a read. The ones before it are no longer in force. */
    @Override
    public void readCompleted() {
        long end = StoreEra.position(feed.era(), feed.position());
        evacuations.readCompleted(isFullRead, isFullRead && !isRestored, end);
        isRestored &= !isFullRead;
        isFullRead = false;
        boolean applied = false;
        while (!applied && !readConfigs.isEmpty()) {
            applied = applyFromStore(readConfigs.pollFirst());
        }
        readConfigs.clear();
    }

    /** Passes a configuration from another companion on, and applies it if it is newer than the one in force. */
    void received(ConfigUpdate update, List<String> relayTo, String from) {
        copies.inc();
        if (!relayTo.isEmpty()) {
            supply.passOn(update, relayTo);
        }
        if (update.version() <= version()) {
            return;
        }
        Optional<byte[]> content = archive.contentOf(update);
        if (content.isEmpty()) {
            patience.newerVersionKnown(from, update.version(), update.bytes(), System.nanoTime());
            patience.contentUnusable(System.nanoTime());
            catchUp();
            return;
        }
        updateBytes = update.bytes();
        apply(content.get(), from);
    }

    /** Returns an update for a companion with the given version, or nothing if this one has no newer version. */
    Optional<ConfigUpdate> requested(long version) {
        if (version >= version()) {
            return Optional.empty();
        }
        ConfigUpdate update = archive.updateFrom(version);
        sentBytes.inc(update.bytes());
        return Optional.of(update);
    }

    /** Runs at regular intervals. */
    void tick() {
        feed.resumeIfNeeded();
        catchUp();
    }

    /** Reports that another companion is connected again. */
    void companionConnected() {
        patience.companionConnected(System.nanoTime());
    }

    /** Reports the version that another companion has in force. */
    void statusReceived(String companion, PeerStatus status) {
        if (status.configVersion() > version()) {
            patience.newerVersionKnown(
                    companion, status.configVersion(), status.configUpdateBytes(), System.nanoTime());
        }
    }

    Evacuations evacuations() {
        return evacuations;
    }

    /** Configuration in force, or null while none is known. */
    public RouteTable routes() {
        return routes;
    }

    public long version() {
        return routes == null ? 0 : routes.version();
    }

    /** Size of the update that brought the configuration in force. */
    int updateBytes() {
        return updateBytes;
    }

    /** Time in ms since a newer version than the one in force has been known to exist; 0 if none is. */
    public long behindMs() {
        return TimeUnit.NANOSECONDS.toMillis(patience.behindNs(System.nanoTime()));
    }

    /** Asks another companion, or the store, for a newer version that has not arrived in time. */
    private void catchUp() {
        Patience.Step step =
                patience.step(System.nanoTime(), ThreadLocalRandom.current().nextDouble());
        Optional<PeerClient> asked =
                step.askedCompanion().flatMap(peers::client).filter(PeerClient::connected);
        asked.ifPresent(client -> {
            EventLog.log(
                    LogEvent.CONFIG_REQUESTED,
                    "from",
                    client.instance(),
                    "version",
                    version(),
                    "behind_ms",
                    behindMs());
            client.requestConfig(version());
        });
        if (step.readsStore() || step.askedCompanion().isPresent() && asked.isEmpty()) {
            feed.readOnce();
            feed.newerRecordsExist();
        }
    }

    private boolean applyFromStore(byte[] content) {
        copies.inc();
        long before = version();
        if (!apply(content, "store")) {
            return false;
        }
        updateBytes = content.length / COMPRESSION_RATIO;
        if (supply.readsForOthers()) {
            ConfigUpdate update = archive.updateFrom(before);
            updateBytes = update.bytes();
            supply.passOn(update);
            versionListener.run();
        }
        return true;
    }

    private boolean apply(byte[] content, String from) {
        long startNs = System.nanoTime();
        RouteTable next;
        try {
            next = decoder.decode(content);
        } catch (ConfigDecoder.InvalidConfigException e) {
            EventLog.log(LogEvent.SETTINGS_INVALID, "configuration from " + from + " ignored", e);
            return false;
        }
        long decodeNs = System.nanoTime() - startNs;
        decodeTimer.update(decodeNs, TimeUnit.NANOSECONDS);
        if (routes != null && next.version() <= routes.version()) {
            return false;
        }
        EventLog.log(
                LogEvent.CONFIG_IN_FORCE,
                "version",
                next.version(),
                "before",
                version(),
                "from",
                from,
                "routes",
                next.routeCount(),
                "bytes",
                content.length,
                "decode_ms",
                TimeUnit.NANOSECONDS.toMillis(decodeNs),
                "behind_ms",
                behindMs(),
                "store_age_ms",
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - feed.lastContactNs()));
        routes = next;
        archive.add(next.version(), content);
        patience.inForce(next.version());
        feed.recordsPassedOn();
        applyListener.accept(next);
        router.apply(next);
        return true;
    }
}
