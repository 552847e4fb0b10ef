package org.siskintiller.wire;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.wire.proto.Proto;

/** Converts the ids and records that several messages contain. */
public final class ModelCodec {

    private ModelCodec() {}

    public static Proto.OperationId toProto(OperationId id) {
        return Proto.OperationId.newBuilder()
                .setHigh(id.high())
                .setLow(id.low())
                .build();
    }

    public static OperationId fromProto(Proto.OperationId id) {
        return new OperationId(id.getHigh(), id.getLow());
    }

    public static Proto.RequestId toProto(RequestId id) {
        return Proto.RequestId.newBuilder().setHigh(id.high()).setLow(id.low()).build();
    }

    public static RequestId fromProto(Proto.RequestId id) {
        return new RequestId(id.getHigh(), id.getLow());
    }

    static Proto.SlotId toProto(SlotId slot) {
        return Proto.SlotId.newBuilder()
                .setService(slot.service())
                .setSlot(slot.slot())
                .build();
    }

    static SlotId fromProto(Proto.SlotId slot) {
        return new SlotId(slot.getService(), slot.getSlot());
    }

    static List<Proto.SlotVersion> slotVersionsToProto(List<SlotVersion> slots) {
        List<Proto.SlotVersion> result = new ArrayList<>(slots.size());
        for (SlotVersion slot : slots) {
            result.add(Proto.SlotVersion.newBuilder()
                    .setSlot(slot.slot())
                    .setVersion(slot.version())
                    .build());
        }
        return result;
    }

    static List<SlotVersion> slotVersionsFromProto(List<Proto.SlotVersion> slots) {
        List<SlotVersion> result = new ArrayList<>(slots.size());
        for (Proto.SlotVersion slot : slots) {
            result.add(new SlotVersion(Decoding.requireNonNegative(slot.getSlot(), "slot"), slot.getVersion()));
        }
        return result;
    }

    static List<Long> ids(Collection<Incarnation> incarnations) {
        List<Long> result = new ArrayList<>(incarnations.size());
        for (Incarnation incarnation : incarnations) {
            result.add(incarnation.id());
        }
        return result;
    }

    static List<Incarnation> incarnations(List<Long> ids) {
        List<Incarnation> result = new ArrayList<>(ids.size());
        for (long id : ids) {
            result.add(new Incarnation(id));
        }
        return result;
    }

    static Proto.Assignment toProto(Assignment assignment) {
        Proto.Assignment.Builder builder = Proto.Assignment.newBuilder()
                .setVersion(assignment.version())
                .addAllCandidates(ids(assignment.candidates()))
                // The iteration order of a set is unspecified, and equal snapshots must encode to equal bytes.
                .addAllPredecessors(
                        ids(assignment.predecessors().stream().sorted().toList()));
        if (assignment.activatedBy() != null) {
            builder.setActivatedBy(assignment.activatedBy().id());
        }
        return builder.build();
    }

    static Assignment fromProto(Proto.Assignment assignment) {
        return new Assignment(
                assignment.getVersion(),
                incarnations(assignment.getCandidatesList()),
                Set.copyOf(incarnations(assignment.getPredecessorsList())),
                assignment.hasActivatedBy() ? new Incarnation(assignment.getActivatedBy()) : null);
    }

    static Proto.Session toProto(Session session) {
        return Proto.Session.newBuilder()
                .setIncarnation(session.incarnation().id())
                .setInstance(session.instance())
                .setFailureDomain(session.failureDomain())
                .setHttpAddress(toProto(session.httpAddress()))
                .setPeerAddress(toProto(session.peerAddress()))
                .setBackendServer(toProto(session.backendServer()))
                .addAllWitnesses(ids(session.witnesses()))
                .setWitnessVersion(session.witnessVersion())
                .setOpenedOffset(session.openedOffset())
                .setDraining(session.draining())
                .build();
    }

    static Session fromProto(Proto.Session session) {
        return new Session(
                new Incarnation(session.getIncarnation()),
                session.getInstance(),
                session.getFailureDomain(),
                fromProto(session.getHttpAddress()),
                fromProto(session.getPeerAddress()),
                fromProto(session.getBackendServer()),
                incarnations(session.getWitnessesList()),
                session.getWitnessVersion(),
                session.getOpenedOffset(),
                session.getDraining());
    }

    private static Proto.Address toProto(Address address) {
        return Proto.Address.newBuilder()
                .setHost(address.host())
                .setPort(address.port())
                .build();
    }

    private static Address fromProto(Proto.Address address) {
        return new Address(address.getHost(), address.getPort());
    }

    private static Proto.BackendServer toProto(BackendServer server) {
        return Proto.BackendServer.newBuilder()
                .setService(server.service())
                .setAddress(toProto(server.address()))
                .setConcurrency(server.concurrency())
                .setConnections(server.connections())
                .build();
    }

    private static BackendServer fromProto(Proto.BackendServer server) {
        return new BackendServer(
                server.getService(), fromProto(server.getAddress()), server.getConcurrency(), server.getConnections());
    }
}
