package org.siskintiller.router.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.keyrange.KeyLoad;
import org.siskintiller.core.keyrange.KeyRates;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.core.lease.BackendHeartbeat;
import org.siskintiller.core.lease.HeartbeatResponse;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.lease.KeyHolder;
import org.siskintiller.core.lease.LeaseTiming;
import org.siskintiller.core.path.BackendPresence;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.backend.CrashWatch;
import org.siskintiller.router.peer.FleetPace;
import org.siskintiller.router.peer.LeaseReply;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.PeerEvents;
import org.siskintiller.router.peer.PeerStatus;
import org.siskintiller.router.request.RequestRouter;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoreTopic;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.router.store.TopicFeed;

/**
 * Runs the control part of a companion: registers it as a member, follows the records and the other companions, and
 * renews the lease of the own backend server.
 */
public final class ControlDriver implements PeerEvents, TopicFeed.FeedListener {
    private static final long TICK_MS = 100;
    /** Interval in which the request rates of keys are computed. */
    private static final long RATES_INTERVAL_NS = 500_000_000L;
    /** Buckets of keys that a renewal reports. A hot set of 200 keys covers 51. */
    private static final int REPORTED_BUCKETS = 96;
    /** Share of a backend server's capacity from which a bucket is reported: less is not worth a move of its own. */
    private static final double REPORTED_SHARE = 0.01;
    /** A companion whose last contact with the store is older gets records and configuration from this one. */
    private static final long SHARE_STORE_AGE_MS = 1_000;
    /** Difference between the monotonic clock and the time of day that tells a pause of the machine. */
    private static final long PAUSE_MS = 400;
    /** An append that was not answered is tried again after this time. */
    static final long APPEND_RETRY_NS = 700_000_000L;
    /** The authority counts as heard for this long: two renewals and the way. */
    private static final long HEARD_NS = 1_200_000_000L;
    /** Wait of a read without news. The store accepts up to 30 s; calls are priced. */
    private static final long READ_WAIT_MS = 8_000;
    /** The age of the authority's last contact is at most twice this. */
    private static final long AUTHORITY_READ_WAIT_MS = 1_000;
    /** Longest delay of an answer to a heartbeat. A backend server waits 1 s for it. */
    private static final long HELD_ANSWER_MS = 700;
    /** Grants of a backend server last this long when an answer is held: the delay and half an interval of heartbeats. */
    private static final long GRANTS_LAST_NS = 1_500_000_000L;
    /** Requests a second that one slot serves while nothing was measured. */
    private static final double UNKNOWN_RATE_OF_SLOT = 5;

    private final ControlSettings settings;
    private final String self;
    private final RecordAppender appender;
    private final AuthorityDriver authority;
    private final EventLoop loop;
    private final ControlState state;
    private final PeerDirectory peers;
    private final FleetPace pace;
    private final BackendGate gate;
    private final BackendPresence presence;
    private final CrashWatch crashes;
    private final KeyHolder holder;
    private final KeyRates ownRates;
    private final TopicFeed feed;
    private final Map<Integer, Long> renewalsSent = new HashMap<>();
    private RequestRouter router;
    private ConfigFeed config;
    private Runnable statusPublisher = () -> {};
    private long followedTerm;
    private long authorityHeardNs = Long.MIN_VALUE / 2;
    private long authorityStoreAgeNs;
    private int renewalSequence;
    private long renewedNs;
    private long statusNs;
    private long ratesNs;
    private long memberAppendNs = Long.MIN_VALUE / 2;
    private long clockOffsetMs;
    /** Answer to the newest heartbeat, which waits for a change of keys. */
    private Consumer<HeartbeatResponse> heldAnswer;

    private boolean caughtUp;
    private boolean stopping;

    public ControlDriver(
            ControlSettings settings,
            RecordStore store,
            EventLoop loop,
            ControlState state,
            PeerDirectory peers,
            FleetPace pace,
            LocalBackend backend) {
        this.settings = settings;
        this.self = settings.self().instance();
        this.appender = new RecordAppender(store);
        this.authority = new AuthorityDriver(settings, state, peers, appender);
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.pace = pace;
        this.gate = backend.gate();
        this.presence = backend.presence();
        this.crashes = backend.crashes();
        this.holder = backend.keys().holder();
        this.ownRates = backend.keys().rates();
        this.feed = new TopicFeed(store, StoreTopic.CONTROL, loop, this::readWaitMs, pace::readPauseMs, this);
    }

    public void start(RequestRouter newRouter, ConfigFeed newConfig, Runnable newStatusPublisher) {
        router = newRouter;
        config = newConfig;
        statusPublisher = newStatusPublisher;
        authority.start(feed, config);
        clockOffsetMs = clockOffset();
        crashes.onSuspicion(this::share);
        gate.onStateChange(this::publishStatus);
        feed.start();
        loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Gives up the authority and lets other companions send nothing more here. */
    public void stop() {
        stopping = true;
        answerHeld();
        authority.stop(System.nanoTime());
        publishStatus();
    }

    /** Whether the control topic has been read once. */
    public boolean ready() {
        return caughtUp || !state.members().isEmpty();
    }

    /**
     * Takes the keys of a heartbeat and answers with what is granted. An answer without news is held, so that the next
     * change of keys reaches the backend server at once and not with its next heartbeat.
     */
    public void beat(BackendHeartbeat beat, Consumer<HeartbeatResponse> answer) {
        long nowNs = System.nanoTime();
        checkPause();
        answerHeld(HeartbeatResponse.RENEWS_NOTHING);
        int releasedBefore = holder.released().size();
        if (presence.leaving()) {
            holder.releaseAll();
        }
        if (!holder.accept(beat, nowNs)) {
            answer.accept(HeartbeatResponse.RENEWS_NOTHING);
            return;
        }
        if (holder.released().size() != releasedBefore) {
            EventLog.log(LogEvent.KEYS_RELEASED, "ranges", String.valueOf(holder.released()));
            renew(nowNs);
        }
        heldAnswer = answer;
        boolean keyed = authority.isKeyed(settings.self().service());
        boolean nothingToTell = !holder.hasLease(nowNs) || holder.mayDeferResponse(GRANTS_LAST_NS, nowNs);
        if (!keyed || stopping || presence.leaving() || !nothingToTell) {
            answerHeld();
            return;
        }
        loop.schedule(() -> answerIfHeld(answer), HELD_ANSWER_MS, TimeUnit.MILLISECONDS);
    }

    /** Tells the backend server of a change of its keys. */
    private void answerNews() {
        long nowNs = System.nanoTime();
        if (holder.hasLease(nowNs) && !holder.mayDeferResponse(0, nowNs)) {
            answerHeld();
        }
    }

    private void answerIfHeld(Consumer<HeartbeatResponse> answer) {
        if (heldAnswer == answer) {
            answerHeld();
        }
    }

    /** Answers the newest heartbeat now, if its answer is held. */
    private void answerHeld() {
        if (heldAnswer != null) {
            answerHeld(holder.respond(System.nanoTime()));
            gate.keysChanged();
        }
    }

    private void answerHeld(HeartbeatResponse granted) {
        Consumer<HeartbeatResponse> answer = heldAnswer;
        heldAnswer = null;
        if (answer != null) {
            answer.accept(granted);
        }
    }

    // ---- Records of the control topic ----

    @Override
    public void record(StoredRecord record) {
        if (!state.apply(record)) {
            return;
        }
        String key = record.key();
        if (key.startsWith(ControlRecords.MEMBER_PREFIX)) {
            if (caughtUp) {
                EventLog.log(LogEvent.MEMBER_CHANGED, "member", key, "offset", record.offset());
            }
            peers.membersChanged();
            router.setCompanions(state.members().size());
        } else if (key.equals(ControlRecords.AUTHORITY_KEY)) {
            authorityChanged(record.offset());
        } else if (key.startsWith(ControlRecords.KEYS_PREFIX)) {
            tableChanged(key.substring(ControlRecords.KEYS_PREFIX.length()), record.offset());
        }
    }

    @Override
    public void caughtUp() {
        caughtUp = true;
        EventLog.log(LogEvent.MEMBERS_READ, "members", state.members().size(), "end", state.end());
        register();
    }

    @Override
    public void progressed() {
        authority.progressed(System.nanoTime());
    }

    private void tableChanged(String service, long offset) {
        KeyTable table = state.table(service).orElse(KeyTable.empty(service));
        EventLog.log(
                LogEvent.KEYS_ASSIGNED,
                "service",
                service,
                "offset",
                offset,
                "term",
                table.term(),
                "last_fence",
                table.lastFence(),
                "rows",
                table.grants().size());
        if (service.equals(settings.self().service())) {
            holder.assign(table.heldBy(self));
            answerNews();
            gate.keysChanged();
        }
        router.backendsChanged();
    }

    private void authorityChanged(long offset) {
        AuthorityClaim claim = state.authority();
        long nowNs = System.nanoTime();
        EventLog.log(
                LogEvent.AUTHORITY_CHANGED,
                "instance",
                claim.instance(),
                "term",
                claim.term(),
                "resigned",
                claim.resigned(),
                "offset",
                offset);
        authority.claimRead(claim, nowNs);
        authorityHeardNs = nowNs;
        authorityStoreAgeNs = 0;
        renew(nowNs);
    }

    // ---- Companions ----

    @Override
    public PeerStatus status() {
        long nowNs = System.nanoTime();
        return new PeerStatus(
                settings.self().service(),
                gate.attracts(nowNs) && !stopping,
                gate.load(),
                config.version(),
                state.end(),
                hearsAuthority(nowNs),
                (nowNs - feed.contactNs()) / 1_000_000);
    }

    @Override
    public Optional<LeaseReply> renewed(HolderReport report, long term, int sequence) {
        return authority.renewed(report, term, sequence);
    }

    @Override
    public void leaseReplied(String instance, LeaseReply reply) {
        long nowNs = System.nanoTime();
        Long sentNs = renewalsSent.remove(reply.sequence());
        if (reply.term() < followedTerm || sentNs == null) {
            return;
        }
        followedTerm = reply.term();
        authorityHeardNs = nowNs;
        reply.records().forEach(this::record);
        checkPause();
        if (reply.leaseMs() > 0) {
            holder.renewed(sentNs, reply.leaseMs());
        }
        holder.release(reply.release());
        answerNews();
    }

    @Override
    public void statusReceived(PeerClient client, PeerStatus status) {
        if (client.instance().equals(state.authority().instance())) {
            authorityHeardNs = System.nanoTime();
            authorityStoreAgeNs = status.storeAgeMs() * 1_000_000;
        }
        if (status.storeAgeMs() > SHARE_STORE_AGE_MS && peers.suppliesNews(client.instance())) {
            if (status.recordsEnd() < state.end()) {
                client.shareRecords(state.records());
            }
            if (status.configVersion() < config.version()) {
                client.shareConfig(config.content());
            }
        }
    }

    @Override
    public void connectionChanged(String instance, boolean connected) {
        router.backendsChanged();
    }

    @Override
    public void configShared(byte[] content) {
        config.received(content, "companion");
    }

    @Override
    public void recordsShared(List<StoredRecord> records) {
        records.forEach(this::record);
    }

    @Override
    public void suspicionsReceived(List<Suspicion> suspicions) {
        crashes.received(suspicions);
    }

    @Override
    public boolean resignationAsked(long term) {
        return authority.resignationAsked(term);
    }

    @Override
    public void resignationAcknowledged(String instance, long term) {
        authority.resignationAcknowledged(instance, term);
    }

    private void share(List<Suspicion> suspicions) {
        for (PeerClient peer : peers.clients()) {
            suspicions.forEach(peer::share);
        }
    }

    private void publishStatus() {
        statusNs = System.nanoTime();
        statusPublisher.run();
    }

    // ---- Timers ----

    private void tick() {
        try {
            long nowNs = System.nanoTime();
            checkPause();
            holder.tick(nowNs);
            for (PeerClient peer : peers.clients()) {
                peer.check(nowNs);
            }
            if (nowNs - ratesNs >= RATES_INTERVAL_NS) {
                ratesNs = nowNs;
                ownRates.endInterval(nowNs);
            }
            if (nowNs - renewedNs >= LeaseTiming.RENEWAL_INTERVAL_NS) {
                renew(nowNs);
            }
            if (nowNs - statusNs >= pace.statusIntervalNs()) {
                publishStatus();
            }
            register();
            if (caughtUp) {
                authority.tick(authorityHeardNs, authorityStoreAgeNs, nowNs);
            }
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.UNEXPECTED_ERROR, "control tick", e);
        }
    }

    /** The monotonic clock stands still while a machine is suspended, and leases do not. */
    private void checkPause() {
        long offsetMs = clockOffset();
        long differenceMs = Math.abs(offsetMs - clockOffsetMs);
        clockOffsetMs = offsetMs;
        if (differenceMs > PAUSE_MS) {
            EventLog.log(LogEvent.PAUSE_DETECTED, "difference_ms", differenceMs);
            holder.dropLease(System.nanoTime());
            renewalsSent.clear();
            renew(System.nanoTime());
        }
    }

    private static long clockOffset() {
        return System.currentTimeMillis() - System.nanoTime() / 1_000_000;
    }

    /** The age of the last contact matters for the authority; others hear from it when they miss a record. */
    private long readWaitMs() {
        return authority.active() ? AUTHORITY_READ_WAIT_MS : pace.readWaitMs(READ_WAIT_MS);
    }

    private void register() {
        long nowNs = System.nanoTime();
        Member known = state.members().get(self);
        if (!caughtUp || stopping || settings.self().equals(known) || nowNs - memberAppendNs < APPEND_RETRY_NS) {
            return;
        }
        memberAppendNs = nowNs;
        appender.append(ControlRecords.memberKey(self), ControlRecords.encode(settings.self()), RecordStore.ANY_END);
    }

    private void renew(long nowNs) {
        renewedNs = nowNs;
        AuthorityClaim claim = state.authority();
        if (claim.resigned()) {
            return;
        }
        renewalSequence++;
        renewalsSent.values().removeIf(sentNs -> nowNs - sentNs > LeaseTiming.LEASE_NS);
        renewalsSent.put(renewalSequence, nowNs);
        HolderReport report = report(nowNs);
        if (authority.active()) {
            leaseReplied(self, authority.answer(report, renewalSequence, nowNs));
            return;
        }
        int sequence = renewalSequence;
        peers.client(claim.instance()).ifPresent(client -> client.renew(report, claim.term(), sequence));
    }

    private HolderReport report(long nowNs) {
        String service = settings.self().service();
        double capacity = gate.load().slots()
                * (gate.load().meanServiceUs() == 0
                        ? UNKNOWN_RATE_OF_SLOT
                        : 1e6 / gate.load().meanServiceUs());
        boolean keyed = authority.isKeyed(service);
        return new HolderReport(
                self,
                service,
                presence.known() ? presence.current().run() : 0,
                keyed && !stopping && gate.attracts(nowNs),
                capacity,
                state.table(service).map(KeyTable::lastFence).orElse(0L),
                holder.released(),
                keyed ? ownRates.load(REPORTED_BUCKETS, REPORTED_SHARE * capacity) : KeyLoad.NONE);
    }

    private boolean hearsAuthority(long nowNs) {
        return authority.active() || nowNs - authorityHeardNs < HEARD_NS;
    }
}
