package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.router.store.TopicFeed;

/** Receives the records of the control topic that this companion reads itself, and passes new ones on. */
final class ControlTopic implements TopicFeed.FeedListener {
    /**
     * Time for other companions to connect and send leaves that a restored store has lost: their attempts to connect are up
     * to 1 s apart.
     */
    private static final long LOST_LEAVES_WAIT_MS = 1_200;

    private final ControlDriver driver;
    private final ControlState state;
    private final StoreSupply supply;
    private final EventLoop loop;
    private final List<StoredRecord> changes = new ArrayList<>();
    private boolean caughtUp;

    ControlTopic(ControlDriver driver, ControlState state, StoreSupply supply, EventLoop loop) {
        this.driver = driver;
        this.state = state;
        this.supply = supply;
        this.loop = loop;
    }

    /** Whether the newest records of all keys have been read in the present era of the store. */
    boolean isCaughtUp() {
        return caughtUp;
    }

    @Override
    public void record(StoredRecord record) {
        boolean isNewer = state.isNewer(record);
        if (driver.apply(record) || isNewer) {
            changes.add(record);
        }
    }

    @Override
    public void caughtUp() {
        caughtUp = true;
        EventLog.log(LogEvent.MEMBERS_READ, "members", state.members().size(), "end", state.end());
        if (driver.ready()) {
            // The records of a new era are passed on, since the companions that this one supplies read nothing.
            driver.registerIfMissing();
            return;
        }
        if (state.established() || state.isNew()) {
            driver.allRecordsKnown();
        } else {
            loop.schedule(driver::allRecordsKnown, LOST_LEAVES_WAIT_MS, TimeUnit.MILLISECONDS);
        }
        driver.registerIfMissing();
        changes.clear();
    }

    @Override
    public void eraChanged(long era) {
        caughtUp = false;
        driver.raiseEra(era);
    }

    @Override
    public void contactChanged() {
        driver.contactChanged();
    }

    @Override
    public void readCompleted() {
        supply.passOn(List.copyOf(changes));
        changes.clear();
        driver.readCompleted();
    }
}
