package org.siskintiller.router.control;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.netty.channel.EventLoop;
import org.siskintiller.core.path.RouteTable;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.request.RequestRouter;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoreTopic;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.router.store.TopicFeed;

/** Applies the operator's newest configuration. Within a process the version never decreases. */
public final class ConfigFeed implements TopicFeed.FeedListener {
    /** A stalled connection to the store must be detected within 5 s, by when a new configuration must be applied. */
    static final long READ_WAIT_MS = 3_000;

    private final ConfigDecoder decoder;
    private final RequestRouter router;
    private final TopicFeed feed;
    private final StoreSupply supply;
    private final Timer decodeTimer;
    private final Counter copies;
    private volatile RouteTable routes;
    private byte[] content = new byte[0];

    public ConfigFeed(
            RecordStore store,
            EventLoop loop,
            StoreSupply supply,
            ConfigDecoder decoder,
            RequestRouter router,
            MetricRegistry metrics) {
        this.decoder = decoder;
        this.router = router;
        this.decodeTimer = metrics.timer("config.decode");
        this.copies = metrics.counter("config.copies");
        metrics.gauge("config.version", () -> this::version);
        this.supply = supply;
        this.feed =
                new TopicFeed(store, StoreTopic.OPERATOR, loop, () -> READ_WAIT_MS, () -> 0, supply::isSupplied, this);
    }

    public void start() {
        feed.start();
    }

    @Override
    public void record(StoredRecord record) {
        if (record.key().equals(decoder.key()) && record.value().length > 0) {
            if (apply(record.value(), "store")) {
                supply.passOn(record.value(), version());
            }
        }
    }

    /** Applies a configuration from another companion if it is newer than the one in force. */
    public void received(byte[] newContent, String from) {
        if (apply(newContent, from)) {
            feed.recordsPassedOn();
        }
    }

    /** Runs at regular intervals. */
    void tick() {
        feed.resumeIfNeeded();
    }

    private boolean apply(byte[] newContent, String from) {
        copies.inc();
        long startNs = System.nanoTime();
        RouteTable next;
        try {
            next = decoder.decode(newContent);
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
                newContent.length,
                "decode_ms",
                TimeUnit.NANOSECONDS.toMillis(decodeNs),
                "store_age_ms",
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - feed.lastContactNs()));
        routes = next;
        content = newContent.clone();
        router.apply(next);
        return true;
    }

    /** Reports that another companion has a newer version in force. */
    public void newerVersionExists() {
        feed.newerRecordsExist();
    }

    /** Configuration in force, or null while none is known. */
    public RouteTable routes() {
        return routes;
    }

    public long version() {
        return routes == null ? 0 : routes.version();
    }

    byte[] content() {
        return content.clone();
    }
}
