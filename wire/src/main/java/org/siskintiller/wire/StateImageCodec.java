package org.siskintiller.wire;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.StateImage;
import org.siskintiller.wire.proto.Proto;

/** Converts the state image of a snapshot to and from protobuf messages. */
final class StateImageCodec {

    private StateImageCodec() {}

    static Proto.StateImage toProto(StateImage image) {
        Proto.StateImage.Builder builder = Proto.StateImage.newBuilder()
                .setAppliedOffset(image.appliedOffset())
                .setConfigVersion(image.configVersion())
                .setConfig(ConfigCodec.toProto(image.config()));
        for (Session session : image.openSessions()) {
            builder.addOpenSessions(ModelCodec.toProto(session));
        }
        for (StateImage.EndedSession ended : image.endedSessions()) {
            builder.addEndedSessions(toProto(ended));
        }
        for (StateImage.SlotAssignment slot : image.slots()) {
            builder.addSlots(Proto.SlotAssignment.newBuilder()
                    .setSlot(ModelCodec.toProto(slot.slot()))
                    .setAssignment(ModelCodec.toProto(slot.assignment())));
        }
        for (StateImage.HotKeyAssignment hotKey : image.hotKeys()) {
            builder.addHotKeys(Proto.HotKeyAssignment.newBuilder()
                    .setService(hotKey.service())
                    .setKey(hotKey.key())
                    .setAssignment(ModelCodec.toProto(hotKey.assignment())));
        }
        for (StateImage.RemovedCustomer removed : image.removedCustomers()) {
            builder.addRemovedCustomers(Proto.RemovedCustomer.newBuilder()
                    .setCustomer(removed.customer())
                    .setRemovalOffset(removed.removalOffset())
                    .addAllConfirmed(ModelCodec.ids(removed.confirmed())));
        }
        for (StateImage.AppliedOperation operation : image.operations()) {
            builder.addOperations(Proto.AppliedOperation.newBuilder()
                    .setId(ModelCodec.toProto(operation.id()))
                    .setOffset(operation.offset()));
        }
        return builder.build();
    }

    static StateImage fromProto(Proto.StateImage image) {
        List<Session> openSessions = new ArrayList<>(image.getOpenSessionsCount());
        for (Proto.Session session : image.getOpenSessionsList()) {
            openSessions.add(ModelCodec.fromProto(session));
        }
        List<StateImage.EndedSession> endedSessions = new ArrayList<>(image.getEndedSessionsCount());
        for (Proto.EndedSession ended : image.getEndedSessionsList()) {
            endedSessions.add(fromProto(ended));
        }
        List<StateImage.SlotAssignment> slots = new ArrayList<>(image.getSlotsCount());
        for (Proto.SlotAssignment slot : image.getSlotsList()) {
            slots.add(new StateImage.SlotAssignment(
                    ModelCodec.fromProto(slot.getSlot()), ModelCodec.fromProto(slot.getAssignment())));
        }
        List<StateImage.HotKeyAssignment> hotKeys = new ArrayList<>(image.getHotKeysCount());
        for (Proto.HotKeyAssignment hotKey : image.getHotKeysList()) {
            hotKeys.add(new StateImage.HotKeyAssignment(
                    hotKey.getService(), hotKey.getKey(), ModelCodec.fromProto(hotKey.getAssignment())));
        }
        List<StateImage.RemovedCustomer> removedCustomers = new ArrayList<>(image.getRemovedCustomersCount());
        for (Proto.RemovedCustomer removed : image.getRemovedCustomersList()) {
            removedCustomers.add(new StateImage.RemovedCustomer(
                    removed.getCustomer(),
                    removed.getRemovalOffset(),
                    ModelCodec.incarnations(removed.getConfirmedList())));
        }
        List<StateImage.AppliedOperation> operations = new ArrayList<>(image.getOperationsCount());
        for (Proto.AppliedOperation operation : image.getOperationsList()) {
            operations.add(
                    new StateImage.AppliedOperation(ModelCodec.fromProto(operation.getId()), operation.getOffset()));
        }
        return new StateImage(
                image.getAppliedOffset(),
                image.getConfigVersion(),
                ConfigCodec.fromProto(image.getConfig()),
                openSessions,
                endedSessions,
                slots,
                hotKeys,
                removedCustomers,
                operations);
    }

    private static Proto.EndedSession toProto(StateImage.EndedSession ended) {
        Proto.EndedSession.Builder builder = Proto.EndedSession.newBuilder()
                .setIncarnation(ended.incarnation().id())
                .setEndedOffset(ended.endedOffset());
        if (ended.endedBy() != null) {
            builder.setEndedBy(ended.endedBy().id());
        }
        return builder.build();
    }

    private static StateImage.EndedSession fromProto(Proto.EndedSession ended) {
        return new StateImage.EndedSession(
                new Incarnation(ended.getIncarnation()),
                ended.getEndedOffset(),
                ended.hasEndedBy() ? new Incarnation(ended.getEndedBy()) : null);
    }
}
