package org.siskintiller.core.gate;

import org.siskintiller.core.model.RequestRecord;

/** Last steps of a request: its outcome, or that its caller is gone. */
final class Completion {
    private final GateContext context;
    private long answered;

    Completion(GateContext context) {
        this.context = context;
    }

    long answered() {
        return answered;
    }

    void finished(GateEvent.Finished event) {
        Ticket ticket = context.tickets.get(event.id());
        if (ticket == null || !ticket.running()) {
            return;
        }
        if (event.outcome() instanceof DispatchOutcome.Completed) {
            answered(ticket, (DispatchOutcome.Completed) event.outcome());
        } else if (event.outcome() instanceof DispatchOutcome.NotRun) {
            notRun(ticket, (DispatchOutcome.NotRun) event.outcome());
        } else if (event.outcome() instanceof DispatchOutcome.Failed) {
            broken(ticket, ((DispatchOutcome.Failed) event.outcome()).reason());
        } else {
            timedOut(ticket);
        }
    }

    void responseBegan(GateEvent.ResponseStarted event) {
        Ticket ticket = context.tickets.get(event.id());
        if (ticket != null && ticket.running()) {
            context.health.responseBegan(context.nowNs);
        }
    }

    void callerGone(GateEvent.CallerDisconnected event) {
        Ticket ticket = context.tickets.get(event.id());
        if (ticket == null || ticket.callerGone) {
            return;
        }
        if (!ticket.running()) {
            context.withdraw(ticket, RefusalKind.RECORD_NOT_STORED, "the first request was given up before it ran");
            return;
        }
        ticket.callerGone = true;
        // A non-idempotent request goes on, so that a repeat learns its outcome.
        if (ticket.started == null && !ticket.cancelled) {
            ticket.cancelled = true;
            context.decisions.add(new GateDecision.Cancel(ticket.request().id()));
        }
    }

    private void answered(Ticket ticket, DispatchOutcome.Completed outcome) {
        answered++;
        context.health.answered(outcome.durationNs(), context.nowNs);
        context.quarantine.recordResponse(ticket.request().fingerprint(), context.nowNs);
        freeSlot(ticket, true);
        if (ticket.started != null) {
            RequestRecord record = context.idempotency.complete(
                    ticket.started, outcome.status(), outcome.contentType(), outcome.body());
            context.repeats.replayAll(context, ticket, record);
        }
    }

    private void notRun(Ticket ticket, DispatchOutcome.NotRun outcome) {
        String reason = outcome.reason();
        if (outcome.fenceRefused() && ticket.denied == null) {
            ticket.denied = RefusalKind.NOT_OWNER;
        }
        if (ticket.denied != null || ticket.cancelled) {
            context.health.withdrawn();
        } else {
            context.health.refused(context.nowNs);
        }
        freeSlot(ticket, false);
        RefusalKind kind = ticket.denied == null ? RefusalKind.BACKEND_REFUSED : ticket.denied;
        if (ticket.started != null) {
            context.idempotency.notRun(ticket.started);
            context.repeats.refuseAll(context, ticket, kind, reason);
        }
        answerWith(ticket, kind, reason);
    }

    private void broken(Ticket ticket, String reason) {
        if (ticket.cancelled) {
            context.health.withdrawn();
        } else {
            context.health.failed(context.nowNs);
            context.quarantine.recordLoss(ticket.request().fingerprint(), context.own, context.nowNs);
        }
        freeSlot(ticket, false);
        mayHaveRun(ticket, RefusalKind.BACKEND_FAILED, reason);
    }

    private void timedOut(Ticket ticket) {
        if (ticket.cancelled) {
            context.health.withdrawn();
        } else {
            context.health.timedOut(ticket.dispatchedNs, context.nowNs);
        }
        freeSlot(ticket, true);
        mayHaveRun(ticket, RefusalKind.DEADLINE_PASSED, "no answer within the deadline");
    }

    private void mayHaveRun(Ticket ticket, RefusalKind kind, String reason) {
        if (ticket.started != null) {
            context.idempotency.unknown(ticket.started);
            context.repeats.refuseAll(context, ticket, RefusalKind.OUTCOME_UNKNOWN, reason);
        }
        answerWith(ticket, kind, reason);
    }

    private void answerWith(Ticket ticket, RefusalKind kind, String reason) {
        if (!ticket.callerGone) {
            context.decisions.refuse(ticket.request().id(), kind, reason);
        }
    }

    private void freeSlot(Ticket ticket, boolean measured) {
        context.admission.finished(ticket, measured ? context.nowNs - ticket.dispatchedNs : -1);
        context.leave(ticket);
    }
}
