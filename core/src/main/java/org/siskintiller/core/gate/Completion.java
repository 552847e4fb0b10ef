package org.siskintiller.core.gate;

import org.siskintiller.core.model.RequestRecord;

/** Handles the end of a request: its outcome or the disconnection of its caller. */
final class Completion {
    private final GateContext context;
    private long completed;

    Completion(GateContext context) {
        this.context = context;
    }

    long completed() {
        return completed;
    }

    void finished(GateEvent.Finished event) {
        Ticket ticket = context.tickets.get(event.id());
        if (ticket == null || !ticket.isRunning()) {
            return;
        }
        if (event.outcome() instanceof DispatchOutcome.Answered) {
            completed(ticket, (DispatchOutcome.Answered) event.outcome());
        } else if (event.outcome() instanceof DispatchOutcome.NotRun) {
            notRun(ticket, (DispatchOutcome.NotRun) event.outcome());
        } else if (event.outcome() instanceof DispatchOutcome.Broken) {
            failed(ticket, ((DispatchOutcome.Broken) event.outcome()).reason());
        } else {
            timedOut(ticket);
        }
    }

    void responseStarted(GateEvent.ResponseStarted event) {
        Ticket ticket = context.tickets.get(event.id());
        if (ticket != null && ticket.isRunning()) {
            context.health.responseStarted(context.nowNs);
        }
    }

    void callerDisconnected(GateEvent.CallerDisconnected event) {
        Ticket ticket = context.tickets.get(event.id());
        if (ticket == null || ticket.callerDisconnected) {
            return;
        }
        if (!ticket.isRunning()) {
            context.withdraw(ticket, RefusalKind.RECORD_NOT_STORED, "the first request was given up before it ran");
            return;
        }
        ticket.callerDisconnected = true;
        // A non-idempotent request continues, so that a repeat receives its outcome.
        if (ticket.requestRecord == null && !ticket.cancelled) {
            ticket.cancelled = true;
            context.decisions.add(new GateDecision.Cancel(ticket.request().id()));
        }
    }

    private void completed(Ticket ticket, DispatchOutcome.Answered outcome) {
        completed++;
        context.health.completed(outcome.durationNs(), context.nowNs);
        context.quarantine.recordResponse(ticket.request().fingerprint(), context.nowNs);
        releaseSlot(ticket, true);
        if (ticket.requestRecord != null) {
            RequestRecord record = context.idempotency.complete(
                    ticket.requestRecord, outcome.status(), outcome.contentType(), outcome.body());
            context.repeats.replayAll(context, ticket, record);
        }
    }

    private void notRun(Ticket ticket, DispatchOutcome.NotRun outcome) {
        String reason = outcome.reason();
        if (outcome.fenceRefused() && ticket.denial == null) {
            ticket.denial = RefusalKind.NOT_OWNER;
        }
        if (ticket.denial != null || ticket.cancelled) {
            context.health.withdrawn();
        } else {
            context.health.refused(context.nowNs);
        }
        releaseSlot(ticket, false);
        RefusalKind kind = ticket.denial == null ? RefusalKind.BACKEND_REFUSED : ticket.denial;
        if (ticket.requestRecord != null) {
            context.idempotency.recordNotRun(ticket.requestRecord);
            context.repeats.refuseAll(context, ticket, kind, reason);
        }
        refuseUnlessDisconnected(ticket, kind, reason);
    }

    private void failed(Ticket ticket, String reason) {
        if (ticket.cancelled) {
            context.health.withdrawn();
        } else {
            context.health.failed(context.nowNs);
            context.quarantine.recordLoss(ticket.request().fingerprint(), context.ownIncarnation, context.nowNs);
        }
        releaseSlot(ticket, false);
        endWithUnknownOutcome(ticket, RefusalKind.BACKEND_FAILED, reason);
    }

    private void timedOut(Ticket ticket) {
        if (ticket.cancelled) {
            context.health.withdrawn();
        } else {
            context.health.timedOut(ticket.dispatchedNs, context.nowNs);
        }
        releaseSlot(ticket, true);
        endWithUnknownOutcome(ticket, RefusalKind.DEADLINE_PASSED, "no answer within the deadline");
    }

    private void endWithUnknownOutcome(Ticket ticket, RefusalKind kind, String reason) {
        if (ticket.requestRecord != null) {
            context.idempotency.recordUnknown(ticket.requestRecord);
            context.repeats.refuseAll(context, ticket, RefusalKind.OUTCOME_UNKNOWN, reason);
        }
        refuseUnlessDisconnected(ticket, kind, reason);
    }

    private void refuseUnlessDisconnected(Ticket ticket, RefusalKind kind, String reason) {
        if (!ticket.callerDisconnected) {
            context.decisions.refuse(ticket.request().id(), kind, reason);
        }
    }

    private void releaseSlot(Ticket ticket, boolean hasServiceTime) {
        context.admission.finished(ticket, hasServiceTime ? context.nowNs - ticket.dispatchedNs : -1);
        context.remove(ticket);
    }
}
