package org.siskintiller.core.gate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.siskintiller.core.admission.Admission;
import org.siskintiller.core.admission.ConcurrencyLimit;
import org.siskintiller.core.health.OutlierDetector;
import org.siskintiller.core.idempotency.Idempotency;
import org.siskintiller.core.idempotency.RecordSink;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.quarantine.Quarantine;

/** State that the steps of the request path share. */
final class GateContext {
    /** Time for which queued requests are dispatched after a drain starts. The guarantee is no new work after 3 s. */
    static final long DRAIN_GRACE_NS = 2_000_000_000L;

    final BackendServer backendServer;
    final Incarnation ownIncarnation;
    final boolean storeBeforeDispatch;
    final Slots slots = new Slots();
    final Tickets tickets = new Tickets();
    final Decisions decisions = new Decisions();
    final Admission<Ticket> admission;
    final OutlierDetector health = new OutlierDetector();
    final Quarantine quarantine = new Quarantine();
    final Idempotency idempotency;
    final Repeats repeats = new Repeats();
    final Set<String> removedCustomers = new HashSet<>();
    /** Suspected requests that are held because another one is queued or runs. */
    final Deque<Ticket> heldSuspects = new ArrayDeque<>();

    Ticket admittedSuspect;
    long leaseExpiryNs = Long.MIN_VALUE;
    long longestRequestNs = Long.MAX_VALUE;
    long drainStartedNs = Long.MAX_VALUE;
    long nowNs;
    long wallMs;

    GateContext(BackendServer backendServer, Incarnation ownIncarnation, RecordSink sink, boolean storeBeforeDispatch) {
        this.backendServer = Objects.requireNonNull(backendServer, "backendServer");
        this.ownIncarnation = Objects.requireNonNull(ownIncarnation, "ownIncarnation");
        this.storeBeforeDispatch = storeBeforeDispatch;
        this.admission = new Admission<>(new ConcurrencyLimit(backendServer.concurrency()));
        this.idempotency = new Idempotency(backendServer.service(), sink);
    }

    boolean hasLease(long atNs) {
        return leaseExpiryNs != Long.MIN_VALUE && atNs < leaseExpiryNs;
    }

    boolean isDraining() {
        return drainStartedNs != Long.MAX_VALUE;
    }

    /** Queues a request whose record, if it needs one, is stored. Suspected requests run one at a time. */
    void enqueue(Ticket ticket) {
        ticket.isSuspect = quarantine.isSuspected(ticket.request().fingerprint(), nowNs);
        if (ticket.isSuspect && admittedSuspect != null) {
            ticket.phase = Ticket.Phase.HELD;
            heldSuspects.add(ticket);
            return;
        }
        if (ticket.isSuspect) {
            admittedSuspect = ticket;
        }
        ticket.phase = Ticket.Phase.QUEUED;
        admission.enqueue(ticket, nowNs);
    }

    /** Removes a request that does not run and refuses it and those that repeat it. */
    void refuse(Ticket ticket, RefusalKind kind, String detail) {
        withdraw(ticket, kind, detail);
        decisions.refuse(ticket.request().id(), kind, detail);
    }

    /** Removes a request that does not run, without a response to its caller. Its key may be used again. */
    void withdraw(Ticket ticket, RefusalKind kind, String detail) {
        if (ticket.hasReservation()) {
            admission.releaseReservation(ticket, nowNs);
        } else if (ticket.phase == Ticket.Phase.QUEUED) {
            admission.remove(ticket, nowNs);
        }
        remove(ticket);
        if (ticket.requestRecord != null) {
            idempotency.recordNotRun(ticket.requestRecord);
            repeats.refuseAll(this, ticket, kind, detail);
        }
    }

    /** Removes a request from all indexes. Queues the next held request if the removed one was the admitted suspect. */
    void remove(Ticket ticket) {
        tickets.remove(ticket);
        if (ticket.phase == Ticket.Phase.WAITING) {
            repeats.remove(ticket);
        }
        if (ticket.phase == Ticket.Phase.HELD) {
            heldSuspects.remove(ticket);
        }
        if (admittedSuspect == ticket) {
            admittedSuspect = null;
            Ticket next = heldSuspects.poll();
            if (next != null) {
                enqueue(next);
            }
        }
    }
}
