package org.siskintiller.core.gate;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.siskintiller.core.admission.AdmissionSettings;
import org.siskintiller.core.admission.RankLoad;
import org.siskintiller.core.control.ControlAction.OpenSlot;
import org.siskintiller.core.idempotency.KeyWindow;
import org.siskintiller.core.idempotency.RecordSink;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;

/**
 * State machine of the request path in front of one backend server. Not safe for use by several threads.
 *
 * <p>The node submits one Finished event for each Dispatch, also after a Cancel and if {@link #mayDispatch} returns
 * false. In the last case the outcome is NotRun.
 */
public final class Gate {
    private final GateContext context;
    private final Arrival arrival;
    private final Dispatcher dispatcher;
    private final Completion completion;
    private final Quiescing quiescing;

    public Gate(BackendServer backendServer, Incarnation ownIncarnation) {
        this(backendServer, ownIncarnation, true);
    }

    /**
     * Creates a gate.
     *
     * @param storeBeforeDispatch false only in tests that show the faults without a second copy of the records
     */
    Gate(BackendServer backendServer, Incarnation ownIncarnation, boolean storeBeforeDispatch) {
        this.context = new GateContext(backendServer, ownIncarnation, new Sink(), storeBeforeDispatch);
        this.arrival = new Arrival(context);
        this.dispatcher = new Dispatcher(context);
        this.completion = new Completion(context);
        this.quiescing = new Quiescing(context);
    }

    /**
     * Applies one event.
     *
     * @param nowNs monotonic time
     * @param wallMs wall clock time
     */
    public List<GateDecision> handle(GateEvent event, long nowNs, long wallMs) {
        context.nowNs = nowNs;
        context.wallMs = wallMs;
        apply(event);
        dispatcher.run();
        context.idempotency.flush(nowNs, wallMs);
        quiescing.report();
        return context.decisions.takeAll();
    }

    /**
     * Whether a dispatched request may be written to the backend server at this moment. If not, it must not be written
     * later either.
     */
    public boolean mayDispatch(RequestId id, long nowNs) {
        Ticket ticket = context.tickets.get(id);
        if (ticket == null || !ticket.isRunning() || ticket.cancelled || ticket.denial != null) {
            return false;
        }
        ticket.denial = dispatcher.denial(ticket, nowNs);
        return ticket.denial == null;
    }

    /** Suspicion that is sent with the response to a request of this fingerprint. */
    public Optional<Suspicion> suspicion(long fingerprint, long nowNs) {
        return context.quarantine.suspicion(fingerprint, nowNs);
    }

    /** Suspicions of the requests that are refused as crashing, to be sent to other companions. */
    public List<Suspicion> quarantined(long nowNs) {
        return context.quarantine.refused(nowNs);
    }

    public GateStats stats() {
        List<GateStats.RankStats> ranks = new ArrayList<>();
        for (RankLoad load : context.admission.load(context.nowNs)) {
            ranks.add(new GateStats.RankStats(
                    load.rank(), load.queued(), load.inFlight(), load.dispatched(), load.admittedShare()));
        }
        return new GateStats(
                context.admission.queued(),
                context.admission.inFlight(),
                context.admission.limit().limit(),
                context.slots.size(),
                dispatcher.dispatched(),
                completion.completed(),
                context.decisions.refused(),
                ranks);
    }

    private void apply(GateEvent event) {
        if (event instanceof GateEvent.Arrived) {
            arrival.handle(((GateEvent.Arrived) event).request());
        } else if (event instanceof GateEvent.Finished) {
            completion.finished((GateEvent.Finished) event);
        } else if (event instanceof GateEvent.ResponseStarted) {
            completion.responseStarted((GateEvent.ResponseStarted) event);
        } else if (event instanceof GateEvent.CallerDisconnected) {
            completion.callerDisconnected((GateEvent.CallerDisconnected) event);
        } else if (event instanceof GateEvent.LeaseExtended) {
            context.leaseExpiryNs = ((GateEvent.LeaseExtended) event).expiryNs();
        } else if (event instanceof GateEvent.SuspicionsReceived) {
            context.quarantine.addSuspicions(((GateEvent.SuspicionsReceived) event).suspicions(), context.nowNs);
        } else if (event instanceof GateEvent.LoadReported) {
            loadReported((GateEvent.LoadReported) event);
        } else if (event instanceof GateEvent.ConfigApplied) {
            configure((GateEvent.ConfigApplied) event);
        } else {
            applyToSlotsAndRecords(event);
        }
    }

    private void applyToSlotsAndRecords(GateEvent event) {
        if (event instanceof GateEvent.SlotsOpened) {
            openSlots((GateEvent.SlotsOpened) event);
        } else if (event instanceof GateEvent.SlotsClosing) {
            quiescing.closeSlots((GateEvent.SlotsClosing) event);
        } else if (event instanceof GateEvent.CustomerQuiescing) {
            quiescing.quiesceCustomer((GateEvent.CustomerQuiescing) event);
        } else if (event instanceof GateEvent.DrainStarted) {
            quiescing.startDrain();
        } else if (event instanceof GateEvent.RecordsStored) {
            context.idempotency.onRecordsStored(((GateEvent.RecordsStored) event).sequence());
        } else if (event instanceof GateEvent.RecordsNotStored) {
            context.idempotency.onRecordsNotStored(((GateEvent.RecordsNotStored) event).sequence(), context.nowNs);
        } else if (event instanceof GateEvent.RecordsReceived) {
            context.idempotency.addRecords(((GateEvent.RecordsReceived) event).records());
        } else if (event instanceof GateEvent.RequestsStreamRead) {
            context.idempotency.onStreamRead();
        } else if (event instanceof GateEvent.RecordsInLogConfirmed) {
            context.idempotency.onRecordsInLogConfirmed();
        }
    }

    private void openSlots(GateEvent.SlotsOpened event) {
        for (OpenSlot opened : event.slots()) {
            SlotId slot = new SlotId(event.service(), opened.slot());
            context.slots.open(slot, opened.fence());
            quiescing.slotReopened(slot);
            context.idempotency.open(
                    slot,
                    opened.fence().version(),
                    event.standby(),
                    event.recordsComplete(),
                    event.readRequestsStream(),
                    context.wallMs);
        }
    }

    private void configure(GateEvent.ConfigApplied event) {
        String service = context.backendServer.service();
        context.admission.configure(AdmissionSettings.of(event.config(), service));
        quiescing.configured(event);
        Optional<ServiceConfig> config = event.config().service(service);
        context.idempotency.setCopying(config.isEmpty() || !config.get().idempotent());
        if (config.isPresent() && config.get().longestRequestMs() > 0) {
            context.longestRequestNs = config.get().longestRequestMs() * 1_000_000;
            context.health.setMaxRequestDuration(context.longestRequestNs);
        }
        if (config.isPresent() && config.get().idempotencyWindowMs() > 0) {
            KeyWindow window = new KeyWindow(config.get().idempotencyWindowMs(), KeyWindow.MAX_CLOCK_SKEW_MS);
            context.idempotency.configure(window, context.wallMs);
        }
    }

    private void loadReported(GateEvent.LoadReported event) {
        context.health.loadReported(context.nowNs);
        context.admission
                .limit()
                .loadReported(event.running(), event.concurrency(), context.admission.inFlight(), context.nowNs);
    }

    /** Turns the calls of the idempotency records into decisions. */
    private final class Sink implements RecordSink {

        @Override
        public void storeAtStandby(Incarnation standby, long sequence, boolean reset, List<RequestRecord> records) {
            context.decisions.add(new GateDecision.StoreAtStandby(standby, sequence, reset, records));
        }

        @Override
        public void storeInLog(long sequence, List<RequestRecord> records) {
            context.decisions.add(new GateDecision.StoreInLog(sequence, records));
        }

        @Override
        public void requestRecordsInLog() {
            context.decisions.add(new GateDecision.RequestRecordsInLog());
        }

        @Override
        public void readRequestsStream() {
            context.decisions.add(new GateDecision.ReadRequestsStream());
        }

        @Override
        public void recordStored(RequestRecord started) {
            Ticket ticket = context.repeats.firstRequest(started);
            if (ticket != null && ticket.phase == Ticket.Phase.STORING) {
                context.enqueue(ticket);
            }
        }

        @Override
        public void recordNotStored(RequestRecord started) {
            Ticket ticket = context.repeats.firstRequest(started);
            if (ticket != null && ticket.phase == Ticket.Phase.STORING) {
                context.refuse(ticket, RefusalKind.RECORD_NOT_STORED, "neither a standby nor the log has the record");
            }
        }
    }
}
