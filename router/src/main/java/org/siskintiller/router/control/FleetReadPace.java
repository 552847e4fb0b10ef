package org.siskintiller.router.control;

import java.util.function.LongSupplier;

import org.siskintiller.router.store.ReadPace;

/** Pace of the reads of a topic by one companion of a fleet. */
record FleetReadPace(StoreSupply supply, LongSupplier waitMs, LongSupplier intervalMs) implements ReadPace {
    @Override
    public long meanWaitMs() {
        return waitMs.getAsLong();
    }

    @Override
    public long minIntervalMs() {
        return intervalMs.getAsLong();
    }

    @Override
    public long maxRetryIntervalMs() {
        return supply.maxRetryIntervalMs();
    }

    @Override
    public boolean supplied() {
        return supply.isSupplied();
    }
}
