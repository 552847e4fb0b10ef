package org.siskintiller.router.control;

import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.keyrange.KeyLoad;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.lease.LeaseTiming;
import org.siskintiller.core.lease.StoreEra;
import org.siskintiller.router.backend.HeldKeys;

/** Reports the state of the backend server of this machine to the lease authority. */
final class HolderReporter {
    /** Maximum number of key buckets in a renewal. A hot set of 200 keys covers 51. */
    private static final int MAX_REPORTED_BUCKETS = 96;
    /** Minimum load of a reported bucket, as a share of the backend server's capacity: less does not justify a move. */
    private static final double MIN_REPORTED_SHARE = 0.01;
    /** Requests per second that one slot is assumed to serve while its service time is unknown. */
    private static final double DEFAULT_REQUESTS_PER_SLOT_SECOND = 5;
    /** Interval of the renewals while a full set of slots waits: what is beyond that is refused until keys have moved. */
    private static final long OVERLOADED_INTERVAL_NS = LeaseTiming.RENEWAL_INTERVAL_NS / 2;

    private final Member self;
    private final ControlState state;
    private final LocalBackend backend;

    /** Last fence of the table from which the holder has its grants. */
    private long assignedFence;

    HolderReporter(Member self, ControlState state, LocalBackend backend) {
        this.self = self;
        this.state = state;
        this.backend = backend;
    }

    /** Records that the holder has taken its grants from a table. */
    void tableAssigned(KeyTable table) {
        assignedFence = table.lastFence();
    }

    /** Interval after which the next renewal is due. */
    long intervalNs() {
        BackendLoad load = backend.gate().load();
        return load.queued() >= load.slots() ? OVERLOADED_INTERVAL_NS : LeaseTiming.RENEWAL_INTERVAL_NS;
    }

    /**
     * Returns the report of a renewal, with the request rates up to now.
     *
     * @param isKeyed whether requests of the service carry keys
     */
    HolderReport report(boolean isKeyed, boolean isStopping, long nowNs) {
        double capacity = capacity(backend.gate().load());
        HeldKeys keys = backend.keys();
        keys.rates().endInterval(nowNs);
        return new HolderReport(
                self.instance(),
                self.service(),
                backend.presence().known() ? backend.presence().current().run() : 0,
                isKeyed && !isStopping && backend.gate().isAvailable(nowNs),
                capacity,
                lastFence(nowNs),
                keys.holder().released(),
                isKeyed ? keys.rates().load(MAX_REPORTED_BUCKETS, MIN_REPORTED_SHARE * capacity) : KeyLoad.NONE);
    }

    /**
     * Fence of the known table, or 0 when it proves nothing. While only tables of an earlier era are known, a holder whose
     * lease has lasted since reports the table that it serves by: the known one may have taken effect late.
     */
    private long lastFence(long nowNs) {
        KeyTable table = state.table(self.service()).orElse(KeyTable.empty(self.service()));
        if (StoreEra.ofTerm(table.term()) >= state.era()) {
            return table.lastFence();
        }
        return backend.keys().holder().hasLease(nowNs) ? assignedFence : 0;
    }

    private static double capacity(BackendLoad load) {
        double perSlot = load.meanServiceUs() == 0 ? DEFAULT_REQUESTS_PER_SLOT_SECOND : 1e6 / load.meanServiceUs();
        return load.slots() * perSlot;
    }
}
