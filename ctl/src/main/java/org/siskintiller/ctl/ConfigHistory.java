package org.siskintiller.ctl;

import java.util.Optional;
import java.util.TreeMap;

import org.siskintiller.core.model.LogRecord;

/** Collects the changes that made each version of the configuration, with their operators. */
final class ConfigHistory implements RecordVisitor {
    private final TreeMap<Long, Change> changesByVersion = new TreeMap<>();

    @Override
    public void visit(ReplayedRecord replayed) {
        if (!replayed.accepted()) {
            return;
        }
        LogRecord record = replayed.entry().record();
        if (record instanceof LogRecord.ConfigPublished published) {
            add(replayed, "configuration published", published.operator());
        } else if (record instanceof LogRecord.PresetSwitched switched) {
            add(replayed, "preset switched to " + switched.preset(), switched.operator());
        } else if (record instanceof LogRecord.CustomerRemoved removed) {
            add(replayed, "customer " + removed.customer() + " removed", removed.operator());
        }
    }

    /** Returns the change that made a version, unless it precedes the replayed records. */
    Optional<Change> changeTo(long version) {
        return Optional.ofNullable(changesByVersion.get(version));
    }

    private void add(ReplayedRecord replayed, String what, String operator) {
        long version = replayed.before().configVersion() + 1;
        changesByVersion.put(
                version, new Change(version, what, operator, replayed.entry().offset(), replayed.timeMs()));
    }

    /** Change that made a version. */
    record Change(long version, String what, String operator, long offset, long timeMs) {

        @Override
        public String toString() {
            return "version " + version + ": " + what + " by " + operator + " at offset " + offset;
        }
    }
}
