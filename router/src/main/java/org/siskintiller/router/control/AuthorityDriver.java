package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.siskintiller.core.keyrange.KeyMove;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.core.lease.Authority;
import org.siskintiller.core.lease.Election;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.lease.LeaseTiming;
import org.siskintiller.core.lease.StoreEra;
import org.siskintiller.core.path.RouteTable;
import org.siskintiller.core.path.ServiceSpec;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.peer.LeaseReply;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.SharedRecord;
import org.siskintiller.router.store.TopicFeed;

/** Takes part in the election of the lease authority. As the authority, replies to renewals and proposes key tables. */
final class AuthorityDriver {
    /** Interval at which resignations are requested again while a lost claim may be in force. */
    private static final long RESIGNATION_INTERVAL_NS = 1_000_000_000L;

    /** Highest era in which an empty store counts as that of a new deployment. Later ones were restored at least once. */
    private static final long MAX_NEW_ERA = 1;

    private final ControlSettings settings;
    private final String self;
    private final ControlState state;
    private final PeerDirectory peers;
    private final RecordAppender appender;
    private final TableDifferences differences;
    private final Election election = new Election();
    private final Map<String, Proposal> proposals = new HashMap<>();
    private TopicFeed feed;
    private ConfigFeed config;
    /** Null while this instance is not the authority. */
    private Authority authority;

    private String predecessor = "";
    private boolean predecessorStopped;
    /** Whether this process claimed the authority of a store without any claim or table. */
    private boolean storeIsNew;
    /** Instances that confirmed that they are not the authority and follow the present term. */
    private final Set<String> notAuthority = new HashSet<>();

    private long resignationsRequestedNs;
    private long lastAppendNs = Long.MIN_VALUE / 2;
    private boolean stopping;
    /** Highest term of another authority that requested the resignation of this one. */
    private long successorTerm;

    AuthorityDriver(
            ControlSettings settings,
            ControlState state,
            PeerDirectory peers,
            RecordAppender appender,
            TableDifferences differences) {
        this.settings = settings;
        this.self = settings.self().instance();
        this.state = state;
        this.peers = peers;
        this.appender = appender;
        this.differences = differences;
    }

    void start(TopicFeed newFeed, ConfigFeed newConfig) {
        feed = newFeed;
        config = newConfig;
    }

    boolean active() {
        return authority != null;
    }

    /** Resigns from the authority and does not claim it again. */
    void stop(long nowNs) {
        stopping = true;
        if (authority != null) {
            resign("the process stops");
            appendResignation(nowNs);
        }
    }

    /**
     * Runs the periodic work.
     *
     * @param lastAuthorityMessageNs time of the last message from the authority
     * @param storeAgeNs age of the authority's last contact with the store
     */
    void tick(long lastAuthorityMessageNs, long storeAgeNs, long nowNs) {
        appendResignation(nowNs);
        claimIfVacant(lastAuthorityMessageNs, storeAgeNs, nowNs);
        planAllServices(nowNs);
        if (authority != null && !state.established() && nowNs - resignationsRequestedNs >= RESIGNATION_INTERVAL_NS) {
            requestResignations(nowNs);
        }
    }

    private void requestResignations(long nowNs) {
        resignationsRequestedNs = nowNs;
        for (PeerClient peer : peers.clients()) {
            if (!notAuthority.contains(peer.instance())) {
                peer.requestResignation(authority.term());
            }
        }
    }

    /** Ends a term of an earlier era: the store may have lost its claim, and others may claim the authority. */
    void eraChanged() {
        if (authority != null && StoreEra.ofTerm(authority.term()) < state.era()) {
            resign("the store was restored from an older copy");
        }
    }

    /** Applies a claim that was read from the store. */
    void claimRead(AuthorityClaim claim, long nowNs) {
        boolean namesThisProcess = claim.instance().equals(self)
                && claim.incarnation().equals(settings.incarnation())
                && claim.term() > successorTerm
                && StoreEra.ofTerm(claim.term()) >= state.era()
                && !claim.resigned();
        if (authority != null && (!namesThisProcess || authority.term() != claim.term())) {
            resign("a record names another authority");
        }
        if (namesThisProcess && authority == null && !stopping) {
            authority = new Authority(claim.term(), predecessorStopped, nowNs);
            authority.setEvacuated(evacuatedInstances());
            if (storeIsNew && state.era() <= MAX_NEW_ERA) {
                authority.storeIsNew(nowNs);
            }
            notAuthority.clear();
            requestResignations(nowNs);
        }
    }

    /** Handles a completed read of the control topic. Appends that expect an earlier end can no longer take effect. */
    void readCompleted(long nowNs) {
        proposals.values().removeIf(proposal -> {
            boolean isSettled = feed.position() > proposal.expectedEnd;
            if (isSettled && authority != null) {
                authority.proposalSettled(proposal.service);
            }
            return isSettled;
        });
        planAllServices(nowNs);
    }

    /** Returns the reply to a renewal, or empty unless this instance is the authority of the given term. */
    Optional<LeaseReply> renewalReceived(HolderReport report, long term, int sequence) {
        if (authority == null || term != authority.term()) {
            return Optional.empty();
        }
        return Optional.of(replyToRenewal(report, sequence, System.nanoTime()));
    }

    /** Resigns if another instance has a higher term. Returns false if it is still the authority afterwards. */
    boolean resignationRequested(long term) {
        successorTerm = Math.max(successorTerm, term);
        if (authority != null && authority.term() < term) {
            resign("another instance has term " + term);
        }
        return authority == null;
    }

    void resignationAcknowledged(String instance, long term) {
        if (authority == null || authority.term() != term) {
            return;
        }
        // The claim of the previous authority may be lost, so that every other member may be it.
        notAuthority.add(instance);
        boolean allResigned = state.members().keySet().stream()
                .allMatch(member -> member.equals(self) || notAuthority.contains(member));
        if (allResigned || state.established() && instance.equals(predecessor)) {
            authority.predecessorResigned(System.nanoTime());
        }
    }

    private void claimIfVacant(long lastAuthorityMessageNs, long storeAgeNs, long nowNs) {
        if (authority != null || nowNs - lastAppendNs < ControlDriver.APPEND_RETRY_NS) {
            return;
        }
        AuthorityClaim claim = state.authority();
        boolean isOwnEarlierProcess =
                claim.instance().equals(self) && !claim.incarnation().equals(settings.incarnation());
        if (!feed.hasPositionIn(state.era())) {
            feed.readOnce();
            return;
        }
        Election.View view = new Election.View(
                claim.term() > 0 && StoreEra.ofTerm(claim.term()) >= state.era(),
                claim.resigned(),
                isOwnEarlierProcess,
                lastAuthorityMessageNs,
                storeAgeNs,
                majorityReceivesFromAuthority(),
                feed.reachable(),
                stopping);
        if (!election.shouldClaim(view, this::electionRank, nowNs)) {
            return;
        }
        lastAppendNs = nowNs;
        // The claim takes effect only at the end of the topic, which a paused feed does not know.
        feed.readOnce();
        predecessor = claim.instance();
        storeIsNew = state.isNew();
        boolean isStopped = claim.resigned() || isOwnEarlierProcess || claim.term() == 0;
        predecessorStopped = storeIsNew || isStopped && state.established();
        long term = StoreEra.nextTerm(state.era(), feed.position(), claim.term());
        AuthorityClaim next = new AuthorityClaim(self, settings.incarnation(), term, false);
        EventLog.log(
                LogEvent.AUTHORITY_CLAIMED,
                "term",
                next.term(),
                "predecessor",
                predecessor,
                "heard_ms_ago",
                (nowNs - lastAuthorityMessageNs) / 1_000_000,
                "store_age_ms",
                storeAgeNs / 1_000_000);
        appender.append(ControlRecords.AUTHORITY_KEY, ControlRecords.encode(next), feed.position());
    }

    /**
     * Place of this instance in the order of candidates. Instances of services without keys come first: when a machine
     * fails together with the authority, its keys are served again only after the authority's leases have expired.
     */
    private int electionRank() {
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
        String selfEntry = (isKeyed(settings.self().service()) ? "1/" : "0/") + self;
        return order.headSet(selfEntry).size();
    }

    /** Whether requests of the service carry keys. */
    boolean isKeyed(String service) {
        RouteTable routes = config.routes();
        if (routes == null) {
            return state.table(service).isPresent();
        }
        return routes.service(service).map(ServiceSpec::keyed).orElse(false);
    }

    private boolean majorityReceivesFromAuthority() {
        int receiving = 0;
        int connected = 0;
        for (PeerClient peer : peers.clients()) {
            if (peer.status().isPresent()
                    && !peer.instance().equals(state.authority().instance())) {
                connected++;
                receiving += peer.status().get().authorityResponsive() ? 1 : 0;
            }
        }
        return receiving * 2 > connected;
    }

    /** Returns the reply to a renewal. Only called while this instance is the authority. */
    LeaseReply replyToRenewal(HolderReport report, int sequence, long nowNs) {
        String service = report.service();
        KeyTable committed = state.table(service).orElse(KeyTable.empty(service));
        boolean mayRenew = Authority.mayRenew(feed.lastContactNs(), nowNs);
        Optional<List<KeyRange>> renewal =
                mayRenew ? authority.renew(report, committed, nowNs) : Optional.<List<KeyRange>>empty();
        List<SharedRecord> missing = new ArrayList<>();
        if (report.lastFence() < committed.lastFence()) {
            state.record(ControlRecords.keyTableKey(service))
                    .ifPresent(record -> missing.add(differences.since(report.lastFence(), record)));
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
                    (nowNs - feed.lastContactNs()) / 1_000_000);
            return new LeaseReply(authority.term(), sequence, 0, List.of(), missing);
        }
        planService(service, nowNs);
        // Includes the moves that this report has caused, so that they begin one renewal earlier.
        List<KeyRange> releases = authority.releases(service, report.instance());
        return new LeaseReply(authority.term(), sequence, LeaseTiming.LEASE_NS / 1_000_000, releases, missing);
    }

    /** Plans again, since the evacuated failure domains have changed. */
    void evacuationsChanged() {
        planAllServices(System.nanoTime());
    }

    private Set<String> evacuatedInstances() {
        return state.members().keySet().stream().filter(state::isEvacuated).collect(Collectors.toSet());
    }

    private void planAllServices(long nowNs) {
        RouteTable routes = config.routes();
        if (authority != null) {
            authority.setEvacuated(evacuatedInstances());
        }
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
        Proposal pending = proposals.get(service);
        if (pending != null) {
            if (nowNs - pending.sentNs > ControlDriver.APPEND_RETRY_NS) {
                propose(pending);
            }
            return;
        }
        if (!feed.reachable() || !feed.hasPositionIn(state.era()) || !isKeyed(service)) {
            return;
        }
        List<KeyMove> earlierMoves = authority.moves(service);
        KeyTable table = state.table(service).orElse(KeyTable.empty(service));
        long firstFence = StoreEra.firstFence(state.era(), feed.position());
        Optional<KeyTable> next = authority.established(table) && state.isTableStored(service)
                ? authority.plan(table, firstFence, instancesOf(service), nowNs)
                : authority.restate(table, firstFence, nowNs);
        authority.moves(service).stream()
                .filter(move -> !earlierMoves.contains(move))
                .forEach(this::logMove);
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

    /** Appends with the same expected end each time, so that at most one attempt takes effect. */
    private void propose(Proposal proposal) {
        proposal.sentNs = System.nanoTime();
        appender.append(ControlRecords.keyTableKey(proposal.service), proposal.value, proposal.expectedEnd);
    }

    /** Appends the resignation of a stopping process again until it has been read back. */
    private void appendResignation(long nowNs) {
        AuthorityClaim claim = state.authority();
        boolean namesThisProcess =
                claim.instance().equals(self) && claim.incarnation().equals(settings.incarnation());
        if (!stopping
                || !namesThisProcess
                || claim.resigned()
                || !feed.hasPositionIn(state.era())
                || nowNs - lastAppendNs < ControlDriver.APPEND_RETRY_NS) {
            return;
        }
        lastAppendNs = nowNs;
        AuthorityClaim resigned = new AuthorityClaim(self, claim.incarnation(), claim.term(), true);
        appender.append(ControlRecords.AUTHORITY_KEY, ControlRecords.encode(resigned), feed.position());
    }

    private void resign(String cause) {
        EventLog.log(LogEvent.AUTHORITY_RESIGNED, "term", authority.term(), "cause", cause);
        authority = null;
        proposals.clear();
    }

    private static final class Proposal {
        private final String service;
        private final byte[] value;
        private final long expectedEnd;
        private long sentNs;

        private Proposal(String service, byte[] value, long expectedEnd) {
            this.service = service;
            this.value = value;
            this.expectedEnd = expectedEnd;
        }
    }
}
