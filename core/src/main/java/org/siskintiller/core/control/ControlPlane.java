package org.siskintiller.core.control;

import java.util.List;
import java.util.Map;

import org.siskintiller.core.departure.Departures;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.ownership.OwnershipTable;
import org.siskintiller.core.ownership.ReleaseResponder;
import org.siskintiller.core.placement.Planner;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.session.EndClaims;
import org.siskintiller.core.session.EndRegistry;
import org.siskintiller.core.session.OrphanCheck;
import org.siskintiller.core.session.SessionLease;
import org.siskintiller.core.session.Witness;
import org.siskintiller.core.session.WitnessChanges;

/**
 * State machine of one companion run. The same seed and the same events at the same times give the same actions. Not
 * thread-safe.
 */
public final class ControlPlane {
    private final ControlContext context;
    private final Appender appender;
    private final RecordRelay relay;
    private final SessionLease lease;
    private final WitnessChanges witnessChanges;
    private final EndClaims claims;
    private final OrphanCheck orphanCheck;
    private final Witness witness;
    private final OwnershipTable table;
    private final ReleaseResponder releases;
    private final Departures departures;
    private final SessionOpener opener;
    private final LoadReports loads;
    private final PlannerDriver planner;
    private final SnapshotProposer snapshots;
    private final Shutdown shutdown;
    private final RecordDispatch records;

    /** Creates the control plane of one companion run. The seed must differ between runs. */
    public ControlPlane(Session self, long seed, Planner planner) {
        this(self, seed, planner, SnapshotProposer.RECORDS_PER_SNAPSHOT);
    }

    public ControlPlane(Session self, long seed, Planner planner, int recordsPerSnapshot) {
        context = new ControlContext(self);
        appender = new Appender(context, seed);
        relay = new RecordRelay(context);
        EndRegistry ends = new EndRegistry(context);
        lease = new SessionLease(context);
        witnessChanges = new WitnessChanges(context, lease, appender);
        claims = new EndClaims(context, ends, appender, relay);
        orphanCheck = new OrphanCheck(context, claims);
        witness = new Witness(context, claims, lease);
        table = new OwnershipTable(context, lease, ends, claims, appender);
        releases = new ReleaseResponder(context, table, lease, relay);
        departures = new Departures(context, appender);
        opener = new SessionOpener(context, appender, lease);
        loads = new LoadReports(context);
        this.planner = new PlannerDriver(context, appender, planner, loads);
        snapshots = new SnapshotProposer(context, appender, recordsPerSnapshot);
        shutdown = new Shutdown(context, appender, opener, lease, table);
        records = new RecordDispatch(this, ends);
        claims.onEnded(table::onEnded);
    }

    /** Handles one event and returns the actions in the order in which they must be carried out. */
    public List<ControlAction> handle(ControlEvent event, long nowNs) {
        if (shutdown.isFinished()) {
            return List.of();
        }
        context.advanceTo(nowNs);
        if (lease.cannotRenew()) {
            shutdown.onLeaseNotRenewable();
        }
        if (shutdown.isRetiring() ? isHandledWhileRetiring(event) : !shutdown.isFinished()) {
            dispatch(event);
            completeEvent();
        }
        return context.takeActions();
    }

    /** Replayed state through the applied offset. */
    public ClusterState state() {
        return context.state();
    }

    /** Whether this companion holds its session lease at this time. */
    public boolean holdsLease(long nowNs) {
        return !shutdown.isFinished() && lease.holds(nowNs);
    }

    /** Slots that the gate has open, with their fences. */
    public Map<SlotId, Fence> openSlots() {
        return table.openSlots();
    }

    private void dispatch(ControlEvent event) {
        if (event instanceof ControlEvent.Tick) {
            tick();
        } else if (event instanceof ControlEvent.MessageReceived) {
            receive(((ControlEvent.MessageReceived) event).message());
        } else if (event instanceof ControlEvent.RecordsRead) {
            ControlEvent.RecordsRead read = (ControlEvent.RecordsRead) event;
            appender.onLogRead();
            apply(read.entries());
            if (read.atTail() && !relay.hasGap()) {
                claims.onLogTail();
                opener.onTail();
            }
        } else if (event instanceof ControlEvent.AppendStored) {
            appender.onStored(((ControlEvent.AppendStored) event).operationId());
        } else if (event instanceof ControlEvent.AppendUncertain) {
            appender.onUncertain(((ControlEvent.AppendUncertain) event).operationId());
        } else if (event instanceof ControlEvent.SlotsQuiesced) {
            ControlEvent.SlotsQuiesced quiesced = (ControlEvent.SlotsQuiesced) event;
            releases.onQuiesced(quiesced.service(), quiesced.slots(), quiesced.records());
        } else if (event instanceof ControlEvent.LoadMeasured) {
            loads.onMeasured((ControlEvent.LoadMeasured) event);
        } else if (event instanceof ControlEvent.BackendServerChanged) {
            onBackendServer(((ControlEvent.BackendServerChanged) event).serving());
        } else if (event instanceof ControlEvent.RecordsInLogRequested) {
            lease.announceRecordsInLog();
        } else if (event instanceof ControlEvent.CustomerQuiesced) {
            ControlEvent.CustomerQuiesced quiesced = (ControlEvent.CustomerQuiesced) event;
            departures.onQuiesced(quiesced.customer(), quiesced.removalOffset());
        } else if (event instanceof ControlEvent.StopRequested) {
            shutdown.requestStop(((ControlEvent.StopRequested) event).requestedBy());
        }
    }

    /**
     * Whether a retiring incarnation still handles an event. It reads the log, quiesces, and acts as a witness until
     * the sessions that list it have had time to replace it.
     */
    private boolean isHandledWhileRetiring(ControlEvent event) {
        if (event instanceof ControlEvent.MessageReceived) {
            PeerMessage message = ((ControlEvent.MessageReceived) event).message();
            return shutdown.mayWitness()
                    && (message instanceof PeerMessage.Heartbeat || message instanceof PeerMessage.EndClaim);
        }
        return event instanceof ControlEvent.SlotsQuiesced
                || event instanceof ControlEvent.StopRequested
                || event instanceof ControlEvent.Tick
                || event instanceof ControlEvent.RecordsRead
                || event instanceof ControlEvent.AppendStored
                || event instanceof ControlEvent.AppendUncertain;
    }

    private void tick() {
        if (shutdown.isRetiring()) {
            appender.tick();
            shutdown.tick();
            return;
        }
        lease.tick();
        opener.proceed();
        witnessChanges.tick();
        witness.tick();
        claims.tick();
        orphanCheck.tick();
        table.tick();
        relay.tick();
        appender.tick();
        planner.tick(lease.holds(context.nowNs()));
        snapshots.tick(lease.holds(context.nowNs()));
        shutdown.tick();
    }

    private void receive(PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat) {
            PeerMessage.Heartbeat heartbeat = (PeerMessage.Heartbeat) message;
            relay.onAppliedOffset(heartbeat.holder(), heartbeat.appliedOffset());
            witness.onHeartbeat(heartbeat);
        } else if (message instanceof PeerMessage.HeartbeatAck) {
            PeerMessage.HeartbeatAck ack = (PeerMessage.HeartbeatAck) message;
            relay.onAppliedOffset(ack.witness(), ack.appliedOffset());
            lease.onAck(ack);
            opener.proceed();
            witnessChanges.onAck();
            releases.onMarked();
        } else if (message instanceof PeerMessage.LapseNotice) {
            claims.start(((PeerMessage.LapseNotice) message).holder());
        } else if (message instanceof PeerMessage.EndClaim) {
            PeerMessage.EndClaim claim = (PeerMessage.EndClaim) message;
            relay.onAppliedOffset(claim.claimant(), claim.appliedOffset());
            witness.onClaim(claim);
        } else if (message instanceof PeerMessage.EndClaimReply) {
            PeerMessage.EndClaimReply reply = (PeerMessage.EndClaimReply) message;
            relay.onAppliedOffset(reply.witness(), reply.mark());
            claims.onReply(reply);
        } else if (message instanceof PeerMessage.ReleaseRequest) {
            releases.onRequest((PeerMessage.ReleaseRequest) message);
        } else if (message instanceof PeerMessage.Released) {
            table.onReleased((PeerMessage.Released) message);
        } else if (message instanceof PeerMessage.FetchRecords) {
            relay.onFetch((PeerMessage.FetchRecords) message);
        } else if (message instanceof PeerMessage.Records) {
            apply(((PeerMessage.Records) message).entries());
        } else if (message instanceof PeerMessage.ReplicateRecords) {
            storeReplicatedRecords((PeerMessage.ReplicateRecords) message);
        } else if (message instanceof PeerMessage.ReplicateAck) {
            PeerMessage.ReplicateAck ack = (PeerMessage.ReplicateAck) message;
            context.emit(new ControlAction.RecordsReplicated(ack.from(), ack.sequence()));
        } else if (message instanceof PeerMessage.LoadReport) {
            loads.onReport((PeerMessage.LoadReport) message);
        }
    }

    /** Stores records of an owner, unless one of their slots is now open here: they would replace newer ones. */
    private void storeReplicatedRecords(PeerMessage.ReplicateRecords message) {
        if (message.records().stream().anyMatch(replica -> table.isOpen(replica.slot()))) {
            return;
        }
        context.emit(new ControlAction.StoreRecords(message.reset(), message.records()));
        context.send(message.from(), new PeerMessage.ReplicateAck(context.self(), message.sequence()));
    }

    private void onBackendServer(boolean serving) {
        opener.onBackendServer(serving);
        if (!serving) {
            shutdown.onBackendServerLost();
        }
    }

    private void apply(List<LogEntry> entries) {
        relay.accept(entries);
        if (records.applyAll()) {
            context.emit(new ControlAction.StateChanged(
                    context.state().appliedOffset(), context.state().configVersion()));
            claims.onApplied();
            releases.onApplied();
        }
    }

    /** Completes the handling of an event: slots that may open now, and messages of this companion to itself. */
    private void completeEvent() {
        while (!shutdown.isFinished()) {
            if (lease.holds(context.nowNs())) {
                table.onLeaseAcquired();
            }
            table.flush();
            PeerMessage localMessage = context.pollLocal();
            if (localMessage == null) {
                return;
            }
            receive(localMessage);
        }
    }

    ControlContext context() {
        return context;
    }

    Appender appender() {
        return appender;
    }

    RecordRelay relay() {
        return relay;
    }

    SessionLease lease() {
        return lease;
    }

    WitnessChanges witnessChanges() {
        return witnessChanges;
    }

    Witness witness() {
        return witness;
    }

    OwnershipTable table() {
        return table;
    }

    Departures departures() {
        return departures;
    }

    SessionOpener opener() {
        return opener;
    }

    LoadReports loads() {
        return loads;
    }

    PlannerDriver planner() {
        return planner;
    }

    Shutdown shutdown() {
        return shutdown;
    }
}
