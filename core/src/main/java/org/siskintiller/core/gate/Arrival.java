package org.siskintiller.core.gate;

import org.siskintiller.core.admission.AdmissionResult;
import org.siskintiller.core.health.HealthState;
import org.siskintiller.core.idempotency.Lookup;

/** Handles an arrived request: owner check, idempotency lookup, refusals, admission and storage of its record. */
final class Arrival {
    private final GateContext context;
    private long sequence;

    Arrival(GateContext context) {
        this.context = context;
    }

    void handle(GateRequest request) {
        if (context.tickets.get(request.id()) != null) {
            return;
        }
        context.quarantine.addSuspicions(request.suspicions(), context.nowNs);
        if (!request.service().equals(context.backendServer.service()) || !context.slots.serves(request.slot())) {
            context.decisions.refuse(request.id(), RefusalKind.NOT_OWNER, request.slot() + " is not open here");
            return;
        }
        if (context.removedCustomers.contains(request.customer())) {
            context.decisions.refuse(
                    request.id(), RefusalKind.CUSTOMER_REMOVED, "customer " + request.customer() + " was removed");
            return;
        }
        Ticket ticket = new Ticket(request, sequence++);
        if (request.idempotent()) {
            admit(ticket, null);
            return;
        }
        if (request.slot() == null) {
            context.decisions.refuse(
                    request.id(), RefusalKind.IDEMPOTENCY_KEY_INVALID, "a non-idempotent request needs a key");
            return;
        }
        Lookup lookup = context.idempotency.lookup(
                request.slot(), request.idempotencyKey(), request.generatedKey(), request.digest(), context.wallMs);
        applyLookup(ticket, lookup);
    }

    /** A known outcome takes precedence over every refusal, since "not-run" would be wrong for the first request. */
    private void applyLookup(Ticket ticket, Lookup lookup) {
        GateRequest request = ticket.request();
        switch (lookup.kind()) {
            case NEW:
                admit(ticket, lookup);
                break;
            case RUNNING:
                context.repeats.await(lookup.key(), ticket);
                context.tickets.add(ticket);
                break;
            case COMPLETED:
                context.decisions.add(new GateDecision.Replay(request.id(), lookup.record()));
                break;
            case REUSED:
                context.decisions.refuse(
                        request.id(), RefusalKind.IDEMPOTENCY_KEY_REUSED, "the key belongs to another request");
                break;
            case INVALID:
                context.decisions.refuse(
                        request.id(), RefusalKind.IDEMPOTENCY_KEY_INVALID, "the key is no UUID version 7");
                break;
            case OUTSIDE_WINDOW:
                context.decisions.refuse(
                        request.id(), RefusalKind.OUTSIDE_WINDOW, "the key's time is outside the window");
                break;
            case NOT_READY:
                context.decisions.refuse(
                        request.id(), RefusalKind.RECORD_NOT_STORED, "request records are not available yet");
                break;
            default:
                context.decisions.refuse(
                        request.id(), RefusalKind.OUTCOME_UNKNOWN, "an earlier request with this key may have run");
                break;
        }
    }

    private void admit(Ticket ticket, Lookup lookup) {
        GateRequest request = ticket.request();
        if (!context.hasLease(context.nowNs)) {
            context.decisions.refuse(
                    request.id(), RefusalKind.NO_LEASE, context.ownIncarnation + " has no session lease");
        } else if (context.isDraining()) {
            context.decisions.refuse(request.id(), RefusalKind.DRAINING, "the backend server is leaving");
        } else if (context.quarantine.isRefused(request.fingerprint(), context.nowNs)) {
            context.decisions.refuse(
                    request.id(), RefusalKind.QUARANTINED, "two backend servers were lost while they ran it");
        } else if (context.health.state() == HealthState.EJECTED) {
            context.decisions.refuse(request.id(), RefusalKind.BACKEND_REFUSED, context.health.reason(), 1_000);
        } else if (context.nowNs >= request.deadlineNs()) {
            context.decisions.refuse(request.id(), RefusalKind.DEADLINE_TOO_SHORT, "the deadline has passed");
        } else {
            reserve(ticket, lookup);
        }
    }

    private void reserve(Ticket ticket, Lookup lookup) {
        GateRequest request = ticket.request();
        AdmissionResult<Ticket> result = context.admission.reserve(ticket, context.nowNs);
        if (result instanceof AdmissionResult.QueueFull) {
            AdmissionResult.QueueFull<Ticket> full = (AdmissionResult.QueueFull<Ticket>) result;
            context.decisions.refuse(request.id(), RefusalKind.QUEUE_FULL, full.detail(), full.retryAfterMs());
            return;
        }
        if (result instanceof AdmissionResult.TooLate) {
            AdmissionResult.TooLate<Ticket> tooLate = (AdmissionResult.TooLate<Ticket>) result;
            context.decisions.refuse(
                    request.id(), RefusalKind.DEADLINE_TOO_SHORT, tooLate.detail(), tooLate.retryAfterMs());
            return;
        }
        Ticket evicted = ((AdmissionResult.Admitted<Ticket>) result).evicted();
        if (evicted != null) {
            context.refuse(evicted, RefusalKind.QUEUE_FULL, "the queue is full and other customers have a share in it");
        }
        context.tickets.add(ticket);
        if (lookup == null) {
            context.enqueue(ticket);
            return;
        }
        ticket.phase = Ticket.Phase.STORING;
        ticket.requestRecord = context.idempotency.start(lookup.key(), request.digest(), context.wallMs);
        context.repeats.start(ticket);
        if (!context.storeBeforeDispatch) {
            context.enqueue(ticket);
        }
    }
}
