package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.siskintiller.core.keyrange.KeyMove;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.core.lease.Authority;
import org.siskintiller.core.lease.Election;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.lease.LeaseTiming;
import org.siskintiller.core.path.RouteTable;
import org.siskintiller.core.path.ServiceSpec;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.peer.LeaseReply;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.router.store.TopicFeed;

/** Takes part in the election of the lease authority, and as authority answers renewals and proposes key tables. */
final class AuthorityDriver {
    private final ControlSettings settings;
    private final String self;
    private final ControlState state;
    private final PeerDirectory peers;
    private final RecordAppender appender;
    private final Election election = new Election();
    private final Map<String, Proposal> proposals = new HashMap<>();
    private TopicFeed feed;
    private ConfigFeed config;
    /** Present while this instance is the authority. */
    private Authority authority;

    private String predecessor = "";
    private boolean predecessorGone;
    private long claimNs = Long.MIN_VALUE / 2;
    private boolean stopping;
    /** Highest term of another authority that asked this one to resign. */
    private long succeededByTerm;

    AuthorityDriver(ControlSettings settings, ControlState state, PeerDirectory peers, RecordAppender appender) {
        this.settings = settings;
        this.self = settings.self().instance();
        this.state = state;
        this.peers = peers;
        this.appender = appender;
    }

    void start(TopicFeed newFeed, ConfigFeed newConfig) {
        feed = newFeed;
        config = newConfig;
    }

    boolean active() {
        return authority != null;
    }

    /** Gives up the authority for good. */
    void stop(long nowNs) {
        stopping = true;
        if (authority != null) {
            dropAuthority("the process stops");
            confirmResignation(nowNs);
        }
    }

    /**
     * Runs what is due.
     *
     * @param heardNs time of the last message from the authority
     * @param storeAgeNs age of its last contact with the store
     */
    void tick(long heardNs, long storeAgeNs, long nowNs) {
        confirmResignation(nowNs);
        stand(heardNs, storeAgeNs, nowNs);
        planAll(nowNs);
    }

    /** Takes a claim that was read from the store. */
    void claimRead(AuthorityClaim claim, long nowNs) {
        boolean own = claim.instance().equals(self)
                && claim.incarnation().equals(settings.incarnation())
                && claim.term() > succeededByTerm
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
    }

    /** A read of the control topic ended. An append on condition of an earlier end can no longer take effect. */
    void progressed(long nowNs) {
        proposals.values().removeIf(proposal -> {
            boolean settled = feed.position() > proposal.at;
            if (settled && authority != null) {
                authority.proposalSettled(proposal.service);
            }
            return settled;
        });
        planAll(nowNs);
    }

    /** Answers a renewal that names the term of this authority. */
    Optional<LeaseReply> renewed(HolderReport report, long term, int sequence) {
        if (authority == null || term != authority.term()) {
            return Optional.empty();
        }
        return Optional.of(answer(report, sequence, System.nanoTime()));
    }

    /** Another instance has a higher term. Returns whether this one is no authority of a lower term any more. */
    boolean resignationAsked(long term) {
        succeededByTerm = Math.max(succeededByTerm, term);
        if (authority != null && authority.term() < term) {
            dropAuthority("another instance has term " + term);
        }
        return authority == null;
    }

    void resignationAcknowledged(String instance, long term) {
        if (authority != null && authority.term() == term && instance.equals(predecessor)) {
            authority.predecessorResigned(System.nanoTime());
        }
    }

    private void stand(long heardNs, long storeAgeNs, long nowNs) {
        if (authority != null || nowNs - claimNs < ControlDriver.APPEND_RETRY_NS) {
            return;
        }
        AuthorityClaim claim = state.authority();
        boolean ownEarlierRun =
                claim.instance().equals(self) && !claim.incarnation().equals(settings.incarnation());
        Election.View view = new Election.View(
                claim.term() > 0,
                claim.resigned(),
                ownEarlierRun,
                heardNs,
                storeAgeNs,
                mostPeersHearAuthority(),
                feed.reachable(),
                stopping);
        if (!election.shouldClaim(view, rank(), nowNs)) {
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
                (nowNs - heardNs) / 1_000_000,
                "store_age_ms",
                storeAgeNs / 1_000_000);
        appender.append(ControlRecords.AUTHORITY_KEY, ControlRecords.encode(next), feed.position());
    }

    /**
     * Instances of services without keys come first: the keys beside an authority that is lost together with its
     * machine are served again only when its leases are surely over.
     */
    private int rank() {
        TreeSet<String> order = new TreeSet<>();
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
        return order.headSet(own).size();
    }

    /** Whether requests of the service carry keys. */
    boolean isKeyed(String service) {
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

    /** Answers a renewal. */
    LeaseReply answer(HolderReport report, int sequence, long nowNs) {
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
            if (nowNs - open.sentNs > ControlDriver.APPEND_RETRY_NS) {
                propose(open);
            }
            return;
        }
        if (!feed.reachable() || !isKeyed(service)) {
            return;
        }
        List<KeyMove> movesBefore = authority.moves(service);
        KeyTable table = state.table(service).orElse(KeyTable.empty(service));
        Optional<KeyTable> next = authority.plan(table, instancesOf(service), nowNs);
        if (movesBefore.isEmpty()) {
            authority.moves(service).forEach(this::logMove);
        }
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
        appender.append(ControlRecords.keysKey(proposal.service), proposal.value, proposal.at);
    }

    /** Repeats the resignation of a stopping process until it is read back. */
    private void confirmResignation(long nowNs) {
        AuthorityClaim claim = state.authority();
        boolean own = claim.instance().equals(self) && claim.incarnation().equals(settings.incarnation());
        if (!stopping || !own || claim.resigned() || nowNs - claimNs < ControlDriver.APPEND_RETRY_NS) {
            return;
        }
        claimNs = nowNs;
        AuthorityClaim resigned = new AuthorityClaim(self, claim.incarnation(), claim.term(), true);
        appender.append(ControlRecords.AUTHORITY_KEY, ControlRecords.encode(resigned), feed.position());
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
