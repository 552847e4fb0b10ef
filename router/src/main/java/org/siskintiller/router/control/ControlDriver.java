package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.keyrange.KeyMove;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyRates;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.core.lease.Authority;
import org.siskintiller.core.lease.BackendBeat;
import org.siskintiller.core.lease.BeatAnswer;
import org.siskintiller.core.lease.Election;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.lease.KeyHolder;
import org.siskintiller.core.lease.LeaseTiming;
import org.siskintiller.core.path.BackendPresence;
import org.siskintiller.core.path.RouteTable;
import org.siskintiller.core.path.ServiceSpec;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.backend.CrashWatch;
import org.siskintiller.router.backend.KeyGate;
import org.siskintiller.router.peer.LeaseReply;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.PeerEvents;
import org.siskintiller.router.peer.PeerStatus;
import org.siskintiller.router.request.RequestRouter;
import org.siskintiller.router.store.RecordStore;
import org.siskintiller.router.store.StoreResult;
import org.siskintiller.router.store.StoreTopic;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.router.store.TopicFeed;

/**
 * Runs the control part of a companion: registers it as a member, takes part in the election of the lease authority,
 * renews the lease of the own backend server, and as authority changes the key tables.
 */
public final class ControlDriver implements PeerEvents, KeyGate, TopicFeed.FeedListener {
    private static final long TICK_MS = 100;
    /** Interval of the status to other companions; changes are told at once. */
    private static final long STATUS_INTERVAL_NS = 500_000_000L;
    /** Interval in which the request rates of keys are computed. */
    private static final long RATES_INTERVAL_NS = 500_000_000L;
    /** Buckets of keys that a renewal reports. The hot set covers a few; the rest is told as an even spread. */
    private static final int REPORTED_BUCKETS = 96;
    /** A companion whose last contact with the store is older gets records and configuration from this one. */
    private static final long SHARE_STORE_AGE_MS = 1_000;
    /** Difference between the monotonic clock and the time of day that tells a pause of the machine. */
    private static final long PAUSE_MS = 400;
    /** An append that was not answered is tried again after this time. */
    private static final long APPEND_RETRY_NS = 700_000_000L;
    /** Wait of a read without news. The store accepts up to 30 s; calls are priced. */
    private static final long READ_WAIT_MS = 8_000;
    /** The age of the authority's last contact is at most twice this. */
    private static final long AUTHORITY_READ_WAIT_MS = 1_000;
    /** Longest delay of the first answer of a run. A backend server waits 1 s for it. */
    private static final long DEFERRED_ANSWER_MS = 450;
    /** Requests a second that one slot serves while nothing was measured. */
    private static final double UNKNOWN_RATE_OF_SLOT = 5;

    private final ControlSettings settings;
    private final String self;
    private final RecordStore store;
    private final EventLoop loop;
    private final ControlState state;
    private final PeerDirectory peers;
    private final BackendGate gate;
    private final BackendPresence presence;
    private final CrashWatch crashes;
    private final KeyHolder holder;
    private final KeyRates ownRates = new KeyRates();
    private final Election election = new Election();
    private final TopicFeed feed;
    private final Map<String, Proposal> proposals = new HashMap<>();
    private final Map<Integer, Long> renewalsSent = new HashMap<>();
    private RequestRouter router;
    private ConfigFeed config;
    private Runnable statusPublisher = () -> {};
    private Authority authority;
    private long followedTerm;
    private long authorityHeardNs = Long.MIN_VALUE / 2;
    private long authorityStoreAgeNs;
    private int renewalSequence;
    private long renewedNs;
    private long statusNs;
    private long ratesNs;
    private long memberAppendNs = Long.MIN_VALUE / 2;
    private long claimNs = Long.MIN_VALUE / 2;
    private long clockOffsetMs;
    private String predecessor = "";
    private boolean predecessorGone;
    /** Answer to a heartbeat that waits for an assignment of keys. */
    private Consumer<BeatAnswer> deferredAnswer;

    private boolean caughtUp;
    private boolean stopping;

    public ControlDriver(
            ControlSettings settings,
            RecordStore store,
            EventLoop loop,
            ControlState state,
            PeerDirectory peers,
            LocalBackend backend) {
        this.settings = settings;
        this.self = settings.self().instance();
        this.store = store;
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.gate = backend.gate();
        this.presence = backend.presence();
        this.crashes = backend.crashes();
        this.holder = backend.keys();
        this.feed = new TopicFeed(store, StoreTopic.CONTROL, loop, this::readWaitMs, this);
    }

    public void start(RequestRouter newRouter, ConfigFeed newConfig, Runnable newStatusPublisher) {
        router = newRouter;
        config = newConfig;
        statusPublisher = newStatusPublisher;
        clockOffsetMs = clockOffset();
        crashes.onSuspicion(this::share);
        gate.onStateChange(this::publishStatus);
        feed.start();
        loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Gives up the authority and lets other companions send nothing more here. */
    public void stop() {
        stopping = true;
        resign("the process stops");
        publishStatus();
    }

    /** Whether the control topic has been read once. */
    public boolean ready() {
        return caughtUp || !state.members().isEmpty();
    }

    /**
     * Takes the keys of a heartbeat and answers with what is granted. The first heartbeat of a run is answered a little
     * later when its keys are about to be assigned, since the next one comes only after a whole interval.
     */
    public void beat(BackendBeat beat, Consumer<BeatAnswer> answer) {
        long nowNs = System.nanoTime();
        checkPause();
        boolean firstOfRun = beat.run() != holder.run();
        int releasedBefore = holder.released().size();
        if (presence.leaving()) {
            holder.releaseAll();
        }
        BeatAnswer granted = holder.beat(beat, nowNs);
        if (holder.released().size() != releasedBefore) {
            EventLog.log(LogEvent.KEYS_RELEASED, "ranges", String.valueOf(holder.released()));
            renew(nowNs);
        }
        if (firstOfRun && granted.grants().isEmpty() && isKeyed(settings.self().service())) {
            if (deferredAnswer != null) {
                deferredAnswer.accept(BeatAnswer.RENEWS_NOTHING);
            }
            deferredAnswer = answer;
            loop.schedule(this::answerDeferred, DEFERRED_ANSWER_MS, TimeUnit.MILLISECONDS);
            return;
        }
        gate.keysChanged();
        answer.accept(granted);
    }

    private void answerDeferred() {
        if (deferredAnswer == null) {
            return;
        }
        Consumer<BeatAnswer> answer = deferredAnswer;
        deferredAnswer = null;
        BeatAnswer granted = holder.answer(System.nanoTime());
        gate.keysChanged();
        answer.accept(granted);
    }

    @Override
    public boolean serves(int key, long nowNs) {
        return holder.serves(key, nowNs);
    }

    @Override
    public boolean isAssigned(int key) {
        return holder.isAssigned(key);
    }

    @Override
    public void counted(int key) {
        ownRates.count(key);
    }

    // ---- Records of the control topic ----

    @Override
    public void record(StoredRecord record) {
        if (!state.apply(record)) {
            return;
        }
        String key = record.key();
        if (key.startsWith(ControlRecords.MEMBER_PREFIX)) {
            EventLog.log(LogEvent.MEMBER_CHANGED, "member", key, "offset", record.offset());
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
        register();
    }

    @Override
    public void progressed() {
        // An append on condition of an earlier end can no longer take effect.
        proposals.values().removeIf(proposal -> {
            boolean settled = feed.position() > proposal.at;
            if (settled && authority != null) {
                authority.proposalSettled(proposal.service);
            }
            return settled;
        });
        planAll(System.nanoTime());
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
            if (!table.heldBy(self).isEmpty()) {
                answerDeferred();
            }
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
        boolean own = claim.instance().equals(self)
                && claim.incarnation().equals(settings.incarnation())
                && !claim.resigned();
        if (authority != null && (!own || authority.term() != claim.term())) {
            dropAuthority("a record names another authority");
        }
        if (own && authority == null && !stopping) {
            authority = new Authority(claim.term(), predecessorGone, nowNs);
            for (PeerClient peer : peers.clients()) {
                peer.askResignation(claim.term());
            }
        }
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
                Math.max(followedTerm, state.authority().term()),
                (nowNs - feed.contactNs()) / 1_000_000,
                stopping);
    }

    @Override
    public Optional<LeaseReply> renewed(HolderReport report, long term, int sequence) {
        if (authority == null || term != authority.term()) {
            return Optional.empty();
        }
        return Optional.of(answerRenewal(report, sequence, System.nanoTime()));
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
    }

    @Override
    public void statusReceived(PeerClient client, PeerStatus status) {
        if (client.instance().equals(state.authority().instance())) {
            authorityHeardNs = System.nanoTime();
            authorityStoreAgeNs = status.storeAgeMs() * 1_000_000;
        }
        if (status.storeAgeMs() > SHARE_STORE_AGE_MS) {
            if (status.recordsEnd() < state.end()) {
                client.shareRecords(state.records());
            }
            if (status.configVersion() < config.version()) {
                client.shareConfig(config.version(), config.content());
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
        if (authority != null && authority.term() < term) {
            dropAuthority("another instance has term " + term);
        }
        return authority == null || authority.term() < term;
    }

    @Override
    public void resignationAcknowledged(String instance, long term) {
        if (authority != null && authority.term() == term && instance.equals(predecessor)) {
            authority.predecessorResigned(System.nanoTime());
        }
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
            if (nowNs - statusNs >= STATUS_INTERVAL_NS) {
                publishStatus();
            }
            register();
            confirmResignation(nowNs);
            stand(nowNs);
            planAll(nowNs);
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
        return authority != null ? AUTHORITY_READ_WAIT_MS : READ_WAIT_MS;
    }

    private void register() {
        long nowNs = System.nanoTime();
        Member known = state.members().get(self);
        if (!caughtUp || stopping || settings.self().equals(known) || nowNs - memberAppendNs < APPEND_RETRY_NS) {
            return;
        }
        memberAppendNs = nowNs;
        append(ControlRecords.memberKey(self), ControlRecords.encode(settings.self()), RecordStore.ANY_END);
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
        if (authority != null) {
            leaseReplied(self, answerRenewal(report, renewalSequence, nowNs));
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
        boolean keyed = isKeyed(service);
        return new HolderReport(
                self,
                service,
                presence.known() ? presence.current().run() : 0,
                keyed && !stopping && gate.attracts(nowNs),
                capacity,
                state.table(service).map(KeyTable::lastFence).orElse(0L),
                holder.released(),
                keyed ? busiestBuckets() : Map.of());
    }

    private Map<Integer, Double> busiestBuckets() {
        List<Integer> buckets = new ArrayList<>();
        for (int bucket = 0; bucket < KeyRates.BUCKETS; bucket++) {
            if (ownRates.rate(bucket) > 0) {
                buckets.add(bucket);
            }
        }
        buckets.sort((a, b) -> Double.compare(ownRates.rate(b), ownRates.rate(a)));
        Map<Integer, Double> busiest = new HashMap<>();
        for (int bucket : buckets.subList(0, Math.min(REPORTED_BUCKETS, buckets.size()))) {
            busiest.put(bucket, ownRates.rate(bucket));
        }
        return busiest;
    }

    // ---- Authority ----

    private void stand(long nowNs) {
        if (authority != null || !caughtUp || nowNs - claimNs < APPEND_RETRY_NS) {
            return;
        }
        AuthorityClaim claim = state.authority();
        boolean ownEarlierRun =
                claim.instance().equals(self) && !claim.incarnation().equals(settings.incarnation());
        Election.View view = new Election.View(
                claim.term() > 0,
                claim.resigned(),
                ownEarlierRun,
                authorityHeardNs,
                authorityStoreAgeNs,
                mostPeersHearAuthority(),
                feed.reachable(),
                stopping);
        if (!election.stands(view, rank(), nowNs)) {
            return;
        }
        claimNs = nowNs;
        predecessor = claim.instance();
        predecessorGone = claim.resigned() || ownEarlierRun || claim.term() == 0;
        AuthorityClaim next = new AuthorityClaim(self, settings.incarnation(), claim.term() + 1, false);
        EventLog.log(
                LogEvent.AUTHORITY_CLAIMED,
                "term",
                next.term(),
                "predecessor",
                predecessor,
                "heard_ms_ago",
                (nowNs - authorityHeardNs) / 1_000_000,
                "store_age_ms",
                authorityStoreAgeNs / 1_000_000);
        append(ControlRecords.AUTHORITY_KEY, ControlRecords.encode(next), feed.position());
    }

    /**
     * Instances of services without keys come first: the keys beside an authority that is lost together with its
     * machine are served again only when its leases are surely over.
     */
    private int rank() {
        Set<String> order = new TreeSet<>();
        for (Member member : state.members().values()) {
            boolean connected = member.instance().equals(self)
                    || peers.client(member.instance())
                            .flatMap(PeerClient::status)
                            .isPresent();
            if (connected) {
                order.add((isKeyed(member.service()) ? "1/" : "0/") + member.instance());
            }
        }
        String own = (isKeyed(settings.self().service()) ? "1/" : "0/") + self;
        return ((TreeSet<String>) order).headSet(own).size();
    }

    private boolean isKeyed(String service) {
        RouteTable routes = config.routes();
        if (routes == null) {
            return state.table(service).isPresent();
        }
        return routes.service(service).map(ServiceSpec::keyed).orElse(false);
    }

    private boolean mostPeersHearAuthority() {
        int hearing = 0;
        int known = 0;
        for (PeerClient peer : peers.clients()) {
            if (peer.status().isPresent()
                    && !peer.instance().equals(state.authority().instance())) {
                known++;
                hearing += peer.status().get().hearsAuthority() ? 1 : 0;
            }
        }
        return hearing * 2 > known;
    }

    private boolean hearsAuthority(long nowNs) {
        return authority != null || nowNs - authorityHeardNs < 1_200_000_000L;
    }

    private LeaseReply answerRenewal(HolderReport report, int sequence, long nowNs) {
        String service = report.service();
        KeyTable committed = state.table(service).orElse(KeyTable.empty(service));
        boolean mayRenew = Authority.mayRenew(feed.contactNs(), nowNs);
        Optional<List<KeyRange>> renewal =
                mayRenew ? authority.renew(report, committed, nowNs) : Optional.<List<KeyRange>>empty();
        List<StoredRecord> missing = new ArrayList<>();
        if (report.lastFence() < committed.lastFence()) {
            state.record(ControlRecords.keysKey(service)).ifPresent(missing::add);
        }
        if (renewal.isEmpty()) {
            EventLog.log(
                    LogEvent.RENEWAL_DENIED,
                    "holder",
                    report.instance(),
                    "fence_known",
                    report.lastFence(),
                    "fence_committed",
                    committed.lastFence(),
                    "store_age_ms",
                    (nowNs - feed.contactNs()) / 1_000_000);
            return new LeaseReply(authority.term(), sequence, 0, List.of(), missing);
        }
        planService(service, nowNs);
        return new LeaseReply(authority.term(), sequence, LeaseTiming.LEASE_NS / 1_000_000, renewal.get(), missing);
    }

    private void planAll(long nowNs) {
        RouteTable routes = config.routes();
        if (authority == null || routes == null) {
            return;
        }
        for (ServiceSpec service : routes.services().values()) {
            if (service.keyed()) {
                planService(service.name(), nowNs);
            }
        }
    }

    private void planService(String service, long nowNs) {
        Proposal open = proposals.get(service);
        if (open != null) {
            if (nowNs - open.sentNs > APPEND_RETRY_NS) {
                propose(open);
            }
            return;
        }
        if (!feed.reachable() || !isKeyed(service)) {
            return;
        }
        Optional<KeyMove> moveBefore = authority.move(service);
        KeyTable table = state.table(service).orElse(KeyTable.empty(service));
        Optional<KeyTable> next = authority.plan(table, instancesOf(service), nowNs);
        authority.move(service).filter(move -> moveBefore.isEmpty()).ifPresent(this::logMove);
        next.ifPresent(proposed -> {
            EventLog.log(
                    LogEvent.KEYS_PROPOSED,
                    "service",
                    service,
                    "term",
                    proposed.term(),
                    "last_fence",
                    proposed.lastFence(),
                    "rows",
                    proposed.grants().size(),
                    "at",
                    feed.position());
            Proposal proposal = new Proposal(service, ControlRecords.encode(proposed), feed.position());
            proposals.put(service, proposal);
            propose(proposal);
        });
    }

    private int instancesOf(String service) {
        int instances = 0;
        for (Member member : state.members().values()) {
            instances += member.service().equals(service) ? 1 : 0;
        }
        return instances;
    }

    private void logMove(KeyMove move) {
        EventLog.log(
                LogEvent.KEYS_MOVING,
                "range",
                move.range(),
                "from",
                move.from().instance(),
                "to",
                move.to().instance());
    }

    /** Appends again under the same condition, so that at most one of the tries takes effect. */
    private void propose(Proposal proposal) {
        proposal.sentNs = System.nanoTime();
        append(ControlRecords.keysKey(proposal.service), proposal.value, proposal.at);
    }

    private void append(String key, byte[] value, long at) {
        store.append(StoreTopic.CONTROL, at, key, value, result -> appended(key, at, result));
    }

    private void appended(String key, long at, StoreResult<Long> result) {
        if (result instanceof StoreResult.Conflict<Long> conflict) {
            EventLog.log(LogEvent.STORE_APPEND_CONFLICT, "key", key, "at", at, "end", conflict.end());
            return;
        }
        if (result instanceof StoreResult.Done<Long>) {
            return;
        }
        EventLog.log(LogEvent.LOG_APPEND_UNCERTAIN, "key", key, "at", at, "result", result.toString());
    }

    /** Repeats the resignation of a stopping process until it is read back. */
    private void confirmResignation(long nowNs) {
        AuthorityClaim claim = state.authority();
        boolean own = claim.instance().equals(self) && claim.incarnation().equals(settings.incarnation());
        if (!stopping || !own || claim.resigned() || nowNs - claimNs < APPEND_RETRY_NS) {
            return;
        }
        claimNs = nowNs;
        AuthorityClaim resigned = new AuthorityClaim(self, claim.incarnation(), claim.term(), true);
        append(ControlRecords.AUTHORITY_KEY, ControlRecords.encode(resigned), feed.position());
    }

    private void resign(String cause) {
        if (authority == null) {
            return;
        }
        dropAuthority(cause);
        confirmResignation(System.nanoTime());
    }

    private void dropAuthority(String cause) {
        EventLog.log(LogEvent.AUTHORITY_RESIGNED, "term", authority.term(), "cause", cause);
        authority = null;
        proposals.clear();
    }

    private static final class Proposal {
        private final String service;
        private final byte[] value;
        private final long at;
        private long sentNs;

        private Proposal(String service, byte[] value, long at) {
            this.service = service;
            this.value = value;
            this.at = at;
        }
    }
}
