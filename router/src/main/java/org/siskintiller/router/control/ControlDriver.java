package org.siskintiller.router.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.core.lease.BackendHeartbeat;
import org.siskintiller.core.lease.HeartbeatResponse;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.lease.KeyHolder;
import org.siskintiller.core.lease.LeaseTiming;
import org.siskintiller.core.lease.StoreEra;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.core.path.BackendPresence;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.backend.KeyReports;
import org.siskintiller.router.peer.ConfigUpdate;
import org.siskintiller.router.peer.FleetIntervals;
import org.siskintiller.router.peer.LeaseReply;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.PeerEvents;
import org.siskintiller.router.peer.PeerStatus;
import org.siskintiller.router.peer.SharedRecord;
import org.siskintiller.router.request.RequestRouter;
import org.siskintiller.router.store.StoreFeeds;
import org.siskintiller.router.store.StoreTopic;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.router.store.TopicFeed;

/**
 * Runs the control part of a companion: registers it as a member, follows the control records and the other companions,
 * and renews the lease of its backend server.
 */
public final class ControlDriver implements PeerEvents, KeyReports {
    private static final long TICK_INTERVAL_MS = 100;
    /** Delay before an append without a response is tried again. The mean of appends that many companions make. */
    static final long APPEND_RETRY_NS = 700_000_000L;
    /** The authority is responsive for this long after a message: two renewal intervals and the network delay. */
    private static final long AUTHORITY_TIMEOUT_NS = 1_200_000_000L;
    /** Mean time that a read waits for a record. It bounds the age of the last contact, by which readers are chosen. */
    static final long READ_WAIT_MS = 3_200;
    /** The last contact of the authority with the store is at most twice as old as this. */
    private static final long AUTHORITY_READ_WAIT_MS = 1_050;

    private final ControlSettings settings;
    private final String self;
    private final RecordAppender appender;
    private final TableDifferences differences;
    private final AuthorityDriver authority;
    private final Findings findings;
    private final HolderReporter reporter;
    private final PauseDetector pauses = new PauseDetector();
    private final EventLoop loop;
    private final ControlState state;
    private final PeerDirectory peers;
    private final FleetIntervals intervals;
    private final BackendGate gate;
    private final BackendPresence presence;
    private final KeyHolder holder;
    private final GrantDelivery delivery;
    private final StoreSupply supply;
    private final TopicFeed feed;
    private final ControlTopic topic;
    private final MemberRegistration registration;
    private final RecordSharing sharing;
    private final Map<Integer, Long> renewalSendTimesNs = new HashMap<>();
    private RequestRouter router;
    private ConfigFeed config;
    private Evacuations evacuations;
    private Runnable statusPublisher = () -> {};
    private long latestTerm;
    private long lastAuthorityMessageNs = Long.MIN_VALUE / 2;
    private long authorityStoreAgeNs;
    private int renewalSequence;
    private long lastRenewalNs;
    private long lastStatusNs;
    private int reportedReleases;
    /** Whether the newest records of all keys are known, from the store or from another companion. */
    private boolean recordsKnown;

    private boolean stopping;

    public ControlDriver(
            ControlSettings settings,
            StoreFeeds feeds,
            EventLoop loop,
            ControlState state,
            PeerDirectory peers,
            StoreSupply supply,
            LocalBackend backend) {
        this.settings = settings;
        this.self = settings.self().instance();
        this.appender = new RecordAppender(feeds.store());
        this.registration = new MemberRegistration(settings.self(), state, appender);
        this.differences = supply.sender().differences();
        this.authority = new AuthorityDriver(settings, state, peers, appender, differences);
        this.findings = new Findings(self, state, peers, appender, backend, loop);
        this.sharing = new RecordSharing(state, peers, supply.sender());
        this.reporter = new HolderReporter(settings.self(), state, backend);
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.intervals = peers.intervals();
        this.gate = backend.gate();
        this.presence = backend.presence();
        this.holder = backend.keys().holder();
        this.delivery = backend.delivery();
        this.supply = supply;
        FleetReadPace pace = new FleetReadPace(supply, this::readWaitMs, supply::minReadIntervalMs);
        this.topic = new ControlTopic(this, state, supply, loop);
        this.feed = feeds.create(StoreTopic.CONTROL, pace, topic);
        appender.observe(feed);
    }

    /** Starts to follow the store. Runs before the first companion connects. */
    public void start(RequestRouter newRouter, ConfigFeed newConfig, Runnable newStatusPublisher) {
        router = newRouter;
        config = newConfig;
        evacuations = newConfig.evacuations();
        statusPublisher = newStatusPublisher;
        authority.start(feed, config);
        gate.onStateChange(this::publishStatus);
        evacuations.listen(this::openGate, this::evacuationsChanged, this::publishStatus);
        config.start(this::publishStatus);
        feed.start();
        loop.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Resigns from the authority and publishes that the backend server takes no more requests. */
    public void stop() {
        stopping = true;
        delivery.stop();
        authority.stop(System.nanoTime());
        publishStatus();
    }

    /** Whether the newest records of the control topic are known. */
    public boolean ready() {
        return recordsKnown;
    }

    /** Processes the keys of a heartbeat and responds with the granted keys. */
    @Override
    public void heartbeat(BackendHeartbeat heartbeat, Consumer<HeartbeatResponse> response) {
        long nowNs = System.nanoTime();
        detectPause();
        delivery.heartbeatReceived();
        if (presence.leaving()) {
            holder.releaseAll();
        }
        if (!holder.accept(heartbeat, nowNs)) {
            response.accept(HeartbeatResponse.RENEWS_NOTHING);
            return;
        }
        reportReleases(nowNs);
        boolean keyed = authority.isKeyed(settings.self().service());
        delivery.heartbeatAccepted(response, keyed && !stopping && !presence.leaving());
    }

    /** Takes the keys back from a backend server that is leaving. */
    @Override
    public void backendLeft() {
        if (presence.leaving()) {
            holder.releaseAll();
            delivery.holderChanged();
        }
    }

    @Override
    public void keepLeave(Consumer<Boolean> result) {
        findings.leaves().keep(result);
    }

    /** Tells the authority at once of ranges that the backend server has released. */
    private void reportReleases(long nowNs) {
        List<HolderReport.Released> released = holder.released();
        if (released.size() > reportedReleases) {
            EventLog.log(LogEvent.KEYS_RELEASED, "ranges", String.valueOf(released));
            renew(nowNs);
        }
        reportedReleases = released.size();
    }

    // ---- Records of the control topic ----

    /** Applies a record and returns whether it changed anything. */
    boolean apply(StoredRecord record) {
        raiseEra(record.era());
        if (!state.apply(record)) {
            return false;
        }
        String key = record.key();
        if (key.startsWith(ControlRecords.MEMBER_PREFIX)) {
            if (topic.isCaughtUp()) {
                EventLog.log(LogEvent.MEMBER_CHANGED, "member", key, "offset", record.offset());
            }
            peers.membersChanged();
            router.setCompanions(state.members().size());
        } else if (key.equals(ControlRecords.AUTHORITY_KEY)) {
            authorityChanged(record.offset());
        } else if (ControlRecords.isKeyTable(key)) {
            tableChanged(ControlRecords.serviceOf(key), record.offset());
        } else {
            findings.recordRead(record);
            backendLeft();
        }
        return true;
    }

    /** Invalidates state that is based on records which a restored store may have lost. It is written again later. */
    void raiseEra(long era) {
        if (era <= state.era()) {
            return;
        }
        state.raiseEra(era);
        findings.eraChanged();
        authority.eraChanged();
    }

    private void tableChanged(String service, long offset) {
        KeyTable table = state.table(service).orElse(KeyTable.empty(service));
        ControlLog.keysAssigned(table, offset);
        // A table of an earlier era may be older than one that was lost, or may take effect late. The holder keeps its
        // grants.
        boolean isEstablished = StoreEra.ofTerm(table.term()) >= state.era();
        if (service.equals(settings.self().service()) && isEstablished) {
            holder.assign(table.heldBy(self));
            reporter.tableAssigned(table);
            delivery.holderChanged();
            gate.keysChanged();
        }
        router.backendsChanged();
    }

    private void authorityChanged(long offset) {
        AuthorityClaim claim = state.authority();
        long nowNs = System.nanoTime();
        ControlLog.authorityChanged(claim, offset);
        authority.claimRead(claim, nowNs);
        lastAuthorityMessageNs = nowNs;
        authorityStoreAgeNs = 0;
        renew(nowNs);
    }

    // ---- Companions ----

    @Override
    public PeerStatus status() {
        long nowNs = System.nanoTime();
        return new PeerStatus(
                settings.self().service(),
                gate.isAvailable(nowNs) && !stopping,
                gate.load(),
                config.version(),
                state.end(),
                isAuthorityResponsive(nowNs),
                (nowNs - feed.lastContactNs()) / 1_000_000,
                feed.reachable(),
                config.updateBytes(),
                evacuations.states(),
                gate.coldMs(),
                state.era());
    }

    @Override
    public Optional<LeaseReply> renewalReceived(HolderReport report, long term, int sequence) {
        return authority.renewalReceived(report, term, sequence);
    }

    @Override
    public void leaseReplyReceived(String instance, LeaseReply reply) {
        long nowNs = System.nanoTime();
        Long sentNs = renewalSendTimesNs.remove(reply.sequence());
        if (reply.term() < latestTerm || sentNs == null) {
            return;
        }
        latestTerm = reply.term();
        lastAuthorityMessageNs = nowNs;
        reply.records().forEach(this::applyShared);
        detectPause();
        if (reply.leaseMs() > 0) {
            holder.renewed(sentNs, reply.leaseMs());
        }
        holder.release(reply.release());
        delivery.holderChanged();
    }

    @Override
    public void statusReceived(PeerClient client, PeerStatus status) {
        if (client.instance().equals(state.authority().instance())) {
            lastAuthorityMessageNs = System.nanoTime();
            authorityStoreAgeNs = status.storeAgeMs() * 1_000_000;
        }
        config.statusReceived(client.instance(), status);
        evacuations.statusReceived(status, client.instance());
        if (status.recordsPosition() > state.position()) {
            feed.newerRecordsExist();
        }
        sharing.catchUp(client, status, recordsKnown);
    }

    @Override
    public void connectionChanged(String instance, boolean connected) {
        router.backendsChanged();
        peers.client(instance).filter(PeerClient::connected).ifPresent(findings::companionConnected);
        if (connected) {
            config.companionConnected();
        }
    }

    @Override
    public void configReceived(ConfigUpdate update, List<String> relayTo, String from) {
        config.received(update, relayTo, from);
    }

    @Override
    public Optional<ConfigUpdate> configRequested(long version) {
        return config.requested(version);
    }

    @Override
    public void recordsReceived(List<SharedRecord> records, boolean complete) {
        records.forEach(this::applyShared);
        feed.recordsPassedOn();
        if (complete) {
            allRecordsKnown();
        }
    }

    /** Applies a record of another companion. Reads the store if this one lacks the table that changed rows are based on. */
    private void applyShared(SharedRecord shared) {
        Optional<StoredRecord> whole = differences.complete(shared);
        whole.ifPresent(this::apply);
        if (whole.isEmpty()) {
            feed.newerRecordsExist();
        }
    }

    private void evacuationsChanged() {
        router.backendsChanged();
        authority.evacuationsChanged();
        // The authority asks for the ranges of an evacuated holder in its reply.
        renew(System.nanoTime());
    }

    @Override
    public void evacuationsReceived(List<Evacuation> received, String from) {
        evacuations.received(received, from);
    }

    @Override
    public void leavesReceived(String instance, BackendLeaves received) {
        findings.leaves().received(instance, received);
        backendLeft();
    }

    @Override
    public void leavesCopied(String instance, BackendLeaves copied) {
        findings.leaves().copied(instance, copied);
    }

    /** Lets requests pass: what earlier processes of this companion found out is known. */
    void allRecordsKnown() {
        recordsKnown = true;
        openGate();
    }

    private void openGate() {
        if (recordsKnown && evacuations.known()) {
            gate.open();
        }
    }

    @Override
    public void suspicionsReceived(List<Suspicion> received) {
        findings.suspicions().received(received);
    }

    @Override
    public boolean resignationRequested(long term) {
        return authority.resignationRequested(term);
    }

    @Override
    public void resignationAcknowledged(String instance, long term) {
        authority.resignationAcknowledged(instance, term);
    }

    private void publishStatus() {
        lastStatusNs = System.nanoTime();
        statusPublisher.run();
    }

    private void tick() {
        try {
            long nowNs = System.nanoTime();
            detectPause();
            holder.tick(nowNs);
            delivery.tick();
            reportReleases(nowNs);
            for (PeerClient peer : peers.clients()) {
                peer.closeIfSilent(nowNs);
            }
            if (nowNs - lastRenewalNs >= reporter.intervalNs()) {
                renew(nowNs);
            }
            if (nowNs - lastStatusNs >= intervals.statusIntervalNs()) {
                publishStatus();
            }
            registerIfMissing();
            supply.setAlwaysReads(authority.active());
            feed.resumeIfNeeded();
            config.tick();
            if (topic.isCaughtUp()) {
                findings.tick(nowNs);
                authority.tick(lastAuthorityMessageNs, authorityStoreAgeNs, nowNs);
            }
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.UNEXPECTED_ERROR, "control tick", e);
        }
    }

    /** Drops the lease after a pause: a suspended machine stops the monotonic clock, but not the leases. */
    private void detectPause() {
        long jumpMs = pauses.jumpMs();
        if (jumpMs > 0) {
            EventLog.log(LogEvent.PAUSE_DETECTED, "difference_ms", jumpMs);
            holder.dropLease(System.nanoTime());
            renewalSendTimesNs.clear();
            renew(System.nanoTime());
        }
    }

    /** The authority needs a recent contact. It sends other companions the records that they lack. */
    private long readWaitMs() {
        return authority.active() ? AUTHORITY_READ_WAIT_MS : READ_WAIT_MS;
    }

    void registerIfMissing() {
        if (topic.isCaughtUp() && !stopping) {
            registration.registerIfMissing(System.nanoTime());
        }
    }

    private void renew(long nowNs) {
        lastRenewalNs = nowNs;
        AuthorityClaim claim = state.authority();
        if (claim.resigned()) {
            return;
        }
        renewalSequence++;
        renewalSendTimesNs.values().removeIf(sentNs -> nowNs - sentNs > LeaseTiming.LEASE_NS);
        renewalSendTimesNs.put(renewalSequence, nowNs);
        boolean keyed = authority.isKeyed(settings.self().service());
        HolderReport report = reporter.report(keyed, stopping, nowNs);
        if (authority.active()) {
            leaseReplyReceived(self, authority.replyToRenewal(report, renewalSequence, nowNs));
            return;
        }
        sharing.sendLostTables();
        int sequence = renewalSequence;
        peers.client(claim.instance()).ifPresent(client -> client.sendRenewal(report, claim.term(), sequence));
    }

    private boolean isAuthorityResponsive(long nowNs) {
        return authority.active() || nowNs - lastAuthorityMessageNs < AUTHORITY_TIMEOUT_NS;
    }

    void contactChanged() {
        supply.setReachesStore(feed.reachable());
        if (supply.readsForOthers()) {
            publishStatus();
        }
    }

    void readCompleted() {
        authority.readCompleted(System.nanoTime());
    }
}
