package org.siskintiller.core.gate;

import java.util.Objects;

import org.siskintiller.core.health.HealthState;
import org.siskintiller.core.model.Fence;

/** Expires queued requests and dispatches them to the backend server. */
final class Dispatcher {
    private final GateContext context;
    private HealthState reportedState = HealthState.SERVING;
    private long dispatched;

    Dispatcher(GateContext context) {
        this.context = context;
    }

    long dispatched() {
        return dispatched;
    }

    void run() {
        expire();
        checkHealth();
        refuseQueued();
        Ticket ticket = context.admission.next(context.nowNs);
        while (ticket != null) {
            dispatch(ticket);
            ticket = context.admission.next(context.nowNs);
        }
    }

    /** Returns why a request may not be written to the backend server at this moment, or null. */
    RefusalKind denial(Ticket ticket, long atNs) {
        if (!context.hasLease(atNs)) {
            return RefusalKind.NO_LEASE;
        }
        Fence fence = context.slots.fence(ticket.request().slot());
        if (!context.slots.serves(ticket.request().slot()) || !Objects.equals(fence, ticket.fence)) {
            return RefusalKind.NOT_OWNER;
        }
        if (context.removedCustomers.contains(ticket.customer())) {
            return RefusalKind.CUSTOMER_REMOVED;
        }
        return atNs >= ticket.executionDeadlineNs ? RefusalKind.DEADLINE_TOO_SHORT : null;
    }

    private void expire() {
        Ticket ticket = context.tickets.expired(context.nowNs);
        while (ticket != null) {
            if (ticket.phase == Ticket.Phase.WAITING) {
                context.refuse(ticket, RefusalKind.DEADLINE_PASSED, "the first request has no outcome yet");
            } else {
                context.refuse(ticket, RefusalKind.DEADLINE_TOO_SHORT, "the deadline passed in the queue");
            }
            ticket = context.tickets.expired(context.nowNs);
        }
    }

    private void checkHealth() {
        context.health.tick(context.nowNs);
        context.admission.limit().setAllowedShare(context.health.allowedShare());
        HealthState state = context.health.state();
        boolean serving = state != HealthState.EJECTED;
        if (serving != (reportedState != HealthState.EJECTED)) {
            context.decisions.add(new GateDecision.BackendServerChanged(serving, context.health.reason()));
        }
        reportedState = state;
    }

    /** Refuses all queued requests when none may be dispatched, so that they can be retried elsewhere at once. */
    private void refuseQueued() {
        if (context.admission.queued() == 0) {
            return;
        }
        if (!context.hasLease(context.nowNs)) {
            refuseAllQueued(RefusalKind.NO_LEASE, context.ownIncarnation + " has no session lease");
        } else if (context.health.state() == HealthState.EJECTED) {
            refuseAllQueued(RefusalKind.BACKEND_REFUSED, context.health.reason());
        } else if (context.isDraining() && context.nowNs - context.drainStartedNs >= GateContext.DRAIN_GRACE_NS) {
            refuseAllQueued(RefusalKind.DRAINING, "the backend server is leaving");
        }
    }

    private void refuseAllQueued(RefusalKind kind, String detail) {
        for (Ticket ticket : context.tickets.notRunning()) {
            if (ticket.phase == Ticket.Phase.QUEUED || ticket.phase == Ticket.Phase.HELD) {
                context.refuse(ticket, kind, detail);
            }
        }
    }

    private void dispatch(Ticket ticket) {
        ticket.fence = context.slots.fence(ticket.request().slot());
        long executionLimitNs = Math.min(context.longestRequestNs, ticket.deadlineNs() - context.nowNs);
        ticket.executionDeadlineNs = context.nowNs + executionLimitNs;
        RefusalKind denial = denial(ticket, context.nowNs);
        if (denial == null && context.quarantine.isRefused(ticket.request().fingerprint(), context.nowNs)) {
            denial = RefusalKind.QUARANTINED;
        }
        if (denial == null && context.admission.cannotMeetDeadline(ticket, context.nowNs)) {
            denial = RefusalKind.DEADLINE_TOO_SHORT;
        }
        if (denial != null) {
            context.admission.refused(ticket, context.nowNs);
            ticket.phase = Ticket.Phase.ARRIVED;
            context.refuse(ticket, denial, "the request may no longer be dispatched");
            return;
        }
        ticket.phase = Ticket.Phase.RUNNING;
        ticket.dispatchedNs = context.nowNs;
        dispatched++;
        context.tickets.dispatched(ticket);
        context.health.dispatched(context.nowNs);
        context.decisions.add(
                new GateDecision.Dispatch(ticket.request().id(), ticket.fence, ticket.executionDeadlineNs));
    }
}
