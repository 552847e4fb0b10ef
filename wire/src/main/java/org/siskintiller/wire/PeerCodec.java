package org.siskintiller.wire;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.wire.proto.Proto;

/** Codec of the control messages between companions. */
public final class PeerCodec {

    private PeerCodec() {}

    public static byte[] encode(PeerMessage message) {
        return toProto(message).toByteArray();
    }

    public static Decoded<PeerMessage> decode(byte[] bytes) {
        return Decoding.attempt(() -> toPeerMessage(Proto.PeerMessage.parseFrom(bytes)));
    }

    public static Decoded<PeerMessage> fromProto(Proto.PeerMessage message) {
        return Decoding.attempt(() -> toPeerMessage(message));
    }

    public static Proto.PeerMessage toProto(PeerMessage message) {
        Proto.PeerMessage.Builder builder = Proto.PeerMessage.newBuilder();
        if (message instanceof PeerMessage.Datagram datagram) {
            addDatagram(builder, datagram);
        } else if (message instanceof PeerMessage.ReleaseRequest request) {
            builder.getReleaseRequestBuilder()
                    .setFrom(request.from().id())
                    .setService(request.service())
                    .addAllSlots(ModelCodec.slotVersionsToProto(request.slots()))
                    .setAppliedOffset(request.appliedOffset());
        } else if (message instanceof PeerMessage.Released released) {
            builder.getReleasedBuilder()
                    .setFrom(released.from().id())
                    .setService(released.service())
                    .addAllSlots(ModelCodec.slotVersionsToProto(released.slots()))
                    .addAllRecords(RequestRecordCodec.toProto(released.records()));
        } else if (message instanceof PeerMessage.FetchRecords fetch) {
            builder.getFetchRecordsBuilder().setFrom(fetch.from().id()).setFromOffset(fetch.fromOffset());
        } else if (message instanceof PeerMessage.Records records) {
            builder.setRecords(records(records));
        } else if (message instanceof PeerMessage.ReplicateRecords replicate) {
            builder.getReplicateRecordsBuilder()
                    .setFrom(replicate.from().id())
                    .setSequence(replicate.sequence())
                    .setReset(replicate.reset())
                    .addAllRecords(RequestRecordCodec.toProto(replicate.records()));
        } else if (message instanceof PeerMessage.ReplicateAck ack) {
            builder.getReplicateAckBuilder().setFrom(ack.from().id()).setSequence(ack.sequence());
        } else if (message instanceof PeerMessage.LoadReport report) {
            builder.setLoadReport(loadReport(report));
        } else {
            throw new IllegalStateException("no encoding for " + message.getClass());
        }
        return builder.build();
    }

    private static void addDatagram(Proto.PeerMessage.Builder builder, PeerMessage.Datagram message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            builder.getHeartbeatBuilder()
                    .setHolder(heartbeat.holder().id())
                    .setSequence(heartbeat.sequence())
                    .setAppliedOffset(heartbeat.appliedOffset())
                    .setRecordsInLog(heartbeat.recordsInLog());
        } else if (message instanceof PeerMessage.HeartbeatAck ack) {
            builder.getHeartbeatAckBuilder()
                    .setWitness(ack.witness().id())
                    .setHolder(ack.holder().id())
                    .setSequence(ack.sequence())
                    .setEnded(ack.ended())
                    .setAppliedOffset(ack.appliedOffset());
        } else if (message instanceof PeerMessage.LapseNotice notice) {
            builder.getLapseNoticeBuilder()
                    .setWitness(notice.witness().id())
                    .setHolder(notice.holder().id());
        } else if (message instanceof PeerMessage.EndClaim claim) {
            builder.getEndClaimBuilder()
                    .setClaimant(claim.claimant().id())
                    .setHolder(claim.holder().id())
                    .setAppliedOffset(claim.appliedOffset());
        } else if (message instanceof PeerMessage.EndClaimReply reply) {
            builder.getEndClaimReplyBuilder()
                    .setWitness(reply.witness().id())
                    .setHolder(reply.holder().id())
                    .setGranted(reply.granted())
                    .setRemainingMs(reply.remainingMs())
                    .setMark(reply.mark())
                    .setRecordsInLog(reply.recordsInLog())
                    .addAllEarlierClaimants(ModelCodec.ids(reply.earlierClaimants()));
        } else {
            throw new IllegalStateException("no encoding for " + message.getClass());
        }
    }

    private static Proto.Records records(PeerMessage.Records records) {
        Proto.Records.Builder builder =
                Proto.Records.newBuilder().setFrom(records.from().id());
        for (LogEntry entry : records.entries()) {
            builder.addEntries(LogCodec.toProto(entry));
        }
        return builder.build();
    }

    private static Proto.LoadReport loadReport(PeerMessage.LoadReport report) {
        Proto.LoadReport.Builder builder =
                Proto.LoadReport.newBuilder().setFrom(report.from().id()).setLoad(report.load());
        for (PeerMessage.SlotLoad load : report.slots()) {
            builder.addSlotsBuilder()
                    .setSlot(ModelCodec.toProto(load.slot()))
                    .setRequestsPerSecond(load.requestsPerSecond());
        }
        for (PeerMessage.KeyLoad load : report.hotKeys()) {
            builder.addHotKeysBuilder()
                    .setService(load.service())
                    .setKey(load.key())
                    .setRequestsPerSecond(load.requestsPerSecond());
        }
        return builder.build();
    }

    private static PeerMessage toPeerMessage(Proto.PeerMessage message) {
        return switch (message.getMessageCase()) {
            case HEARTBEAT -> heartbeat(message.getHeartbeat());
            case HEARTBEAT_ACK -> heartbeatAck(message.getHeartbeatAck());
            case LAPSE_NOTICE ->
                new PeerMessage.LapseNotice(
                        new Incarnation(message.getLapseNotice().getWitness()),
                        new Incarnation(message.getLapseNotice().getHolder()));
            case END_CLAIM -> endClaim(message.getEndClaim());
            case END_CLAIM_REPLY -> endClaimReply(message.getEndClaimReply());
            case RELEASE_REQUEST -> releaseRequest(message.getReleaseRequest());
            case RELEASED -> released(message.getReleased());
            case FETCH_RECORDS ->
                new PeerMessage.FetchRecords(
                        new Incarnation(message.getFetchRecords().getFrom()),
                        message.getFetchRecords().getFromOffset());
            case RECORDS -> records(message.getRecords());
            case REPLICATE_RECORDS -> replicateRecords(message.getReplicateRecords());
            case REPLICATE_ACK ->
                new PeerMessage.ReplicateAck(
                        new Incarnation(message.getReplicateAck().getFrom()),
                        message.getReplicateAck().getSequence());
            case LOAD_REPORT -> loadReport(message.getLoadReport());
            case MESSAGE_NOT_SET -> throw new IllegalArgumentException("no known kind of peer message");
        };
    }

    private static PeerMessage heartbeat(Proto.Heartbeat heartbeat) {
        return new PeerMessage.Heartbeat(
                new Incarnation(heartbeat.getHolder()),
                heartbeat.getSequence(),
                heartbeat.getAppliedOffset(),
                heartbeat.getRecordsInLog());
    }

    private static PeerMessage heartbeatAck(Proto.HeartbeatAck ack) {
        return new PeerMessage.HeartbeatAck(
                new Incarnation(ack.getWitness()),
                new Incarnation(ack.getHolder()),
                ack.getSequence(),
                ack.getEnded(),
                ack.getAppliedOffset());
    }

    private static PeerMessage endClaim(Proto.EndClaim claim) {
        return new PeerMessage.EndClaim(
                new Incarnation(claim.getClaimant()), new Incarnation(claim.getHolder()), claim.getAppliedOffset());
    }

    private static PeerMessage endClaimReply(Proto.EndClaimReply reply) {
        return new PeerMessage.EndClaimReply(
                new Incarnation(reply.getWitness()),
                new Incarnation(reply.getHolder()),
                reply.getGranted(),
                reply.getRemainingMs(),
                reply.getMark(),
                reply.getRecordsInLog(),
                ModelCodec.incarnations(reply.getEarlierClaimantsList()));
    }

    private static PeerMessage releaseRequest(Proto.ReleaseRequest request) {
        return new PeerMessage.ReleaseRequest(
                new Incarnation(request.getFrom()),
                request.getService(),
                ModelCodec.slotVersionsFromProto(request.getSlotsList()),
                request.getAppliedOffset());
    }

    private static PeerMessage released(Proto.Released released) {
        return new PeerMessage.Released(
                new Incarnation(released.getFrom()),
                released.getService(),
                ModelCodec.slotVersionsFromProto(released.getSlotsList()),
                RequestRecordCodec.fromProto(released.getRecordsList()));
    }

    private static PeerMessage records(Proto.Records records) {
        List<LogEntry> entries = new ArrayList<>(records.getEntriesCount());
        for (Proto.LogEntry entry : records.getEntriesList()) {
            entries.add(LogCodec.fromProto(entry));
        }
        return new PeerMessage.Records(new Incarnation(records.getFrom()), entries);
    }

    private static PeerMessage replicateRecords(Proto.ReplicateRecords replicate) {
        return new PeerMessage.ReplicateRecords(
                new Incarnation(replicate.getFrom()),
                replicate.getSequence(),
                replicate.getReset(),
                RequestRecordCodec.fromProto(replicate.getRecordsList()));
    }

    private static PeerMessage loadReport(Proto.LoadReport report) {
        List<PeerMessage.SlotLoad> slots = new ArrayList<>(report.getSlotsCount());
        for (Proto.SlotLoad load : report.getSlotsList()) {
            slots.add(new PeerMessage.SlotLoad(
                    ModelCodec.fromProto(load.getSlot()),
                    Decoding.requireFinite(load.getRequestsPerSecond(), "requests_per_second")));
        }
        List<PeerMessage.KeyLoad> hotKeys = new ArrayList<>(report.getHotKeysCount());
        for (Proto.KeyLoad load : report.getHotKeysList()) {
            hotKeys.add(new PeerMessage.KeyLoad(
                    load.getService(),
                    load.getKey(),
                    Decoding.requireFinite(load.getRequestsPerSecond(), "requests_per_second")));
        }
        return new PeerMessage.LoadReport(
                new Incarnation(report.getFrom()), Decoding.requireFinite(report.getLoad(), "load"), slots, hotKeys);
    }
}
