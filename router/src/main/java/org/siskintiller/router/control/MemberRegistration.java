package org.siskintiller.router.control;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.siskintiller.core.retry.SpreadInterval;
import org.siskintiller.router.store.RecordStore;

/** Registers this companion as a member until the store has its record, and again when the store has lost it. */
final class MemberRegistration {
    private final Member self;
    private final ControlState state;
    private final RecordAppender appender;
    private final SpreadInterval attempts = new SpreadInterval(ControlDriver.APPEND_RETRY_NS);

    MemberRegistration(Member self, ControlState state, RecordAppender appender) {
        this.self = self;
        this.state = state;
        this.appender = appender;
    }

    void registerIfMissing(long nowNs) {
        String key = ControlRecords.memberKey(self.instance());
        Optional<Member> stored =
                state.storedRecord(key).map(record -> state.members().get(self.instance()));
        if (stored.equals(Optional.of(self)) || !attempts.isDue(nowNs)) {
            return;
        }
        attempts.attempted(nowNs, ThreadLocalRandom.current().nextDouble());
        appender.append(key, ControlRecords.encode(self), RecordStore.ANY_END);
    }
}
