package org.siskintiller.core.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.StateImage;
import org.siskintiller.core.model.StateImage.AppliedOperation;
import org.siskintiller.core.model.StateImage.EndedSession;
import org.siskintiller.core.model.StateImage.HotKeyAssignment;
import org.siskintiller.core.model.StateImage.SlotAssignment;

/** Converts a state to a snapshot in canonical order, so that equal states give equal snapshots. */
final class ImageWriter {

    private ImageWriter() {}

    static StateImage write(ClusterState state) {
        List<Session> open = new ArrayList<>();
        state.forEachOpenSession(open::add);
        open.sort(Comparator.comparingLong(Session::openedOffset));
        List<EndedSession> ended = new ArrayList<>();
        state.forEachEndedSession(ended::add);
        ended.sort(Comparator.comparingLong(EndedSession::endedOffset));
        List<SlotAssignment> slots = new ArrayList<>();
        state.forEachAssignment((slot, assignment) -> slots.add(new SlotAssignment(slot, assignment)));
        slots.sort(Comparator.comparing(SlotAssignment::slot));
        List<HotKeyAssignment> hotKeys = new ArrayList<>();
        state.forEachHotKey((service, key, assignment) -> hotKeys.add(new HotKeyAssignment(service, key, assignment)));
        hotKeys.sort(Comparator.comparing(HotKeyAssignment::service).thenComparing(HotKeyAssignment::key));
        List<AppliedOperation> operations = new ArrayList<>();
        state.forEachOperation((id, offset) -> operations.add(new AppliedOperation(id, offset)));
        operations.sort(Comparator.comparingLong(AppliedOperation::offset));
        return new StateImage(
                state.appliedOffset(),
                state.configVersion(),
                state.config(),
                open,
                ended,
                slots,
                hotKeys,
                state.removedCustomers(),
                operations);
    }
}
