package org.siskintiller.router.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.wire.companion.CompanionProto;

/** Encodes leaves of backend servers for frames and records. */
public final class LeavesCodec {
    private LeavesCodec() {}

    /** Encodes leaves in the order of names, so that equal leaves have equal bytes. */
    public static CompanionProto.BackendLeaves encode(String instance, BackendLeaves leaves) {
        CompanionProto.BackendLeaves.Builder builder =
                CompanionProto.BackendLeaves.newBuilder().setInstance(instance);
        new TreeMap<>(leaves.lastRuns())
                .forEach((backend, run) -> builder.addLeaves(CompanionProto.BackendLeave.newBuilder()
                        .setBackend(backend)
                        .setLastRun(run)));
        return builder.build();
    }

    public static BackendLeaves decode(CompanionProto.BackendLeaves encoded) {
        Map<String, Long> lastRuns = new HashMap<>();
        encoded.getLeavesList().forEach(leave -> lastRuns.merge(leave.getBackend(), leave.getLastRun(), Math::max));
        return new BackendLeaves(lastRuns);
    }
}
