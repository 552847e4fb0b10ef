package org.siskintiller.router.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.keyrange.KeyLoad;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.core.path.RequestMemory;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Header;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.RefusalReason;
import org.siskintiller.router.request.ResponseHead;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/** Converts between the router's types and the frames between companions. Deadlines are sent as remaining time. */
final class Frames {
    private static final int UNKNOWN_SERVICE_TIME_US = 0;

    private Frames() {}

    static Frame sharedConfig(ConfigUpdate update, List<String> relayTo) {
        return Frame.newBuilder()
                .setSharedConfig(CompanionProto.SharedConfig.newBuilder()
                        .setVersion(update.version())
                        .setBaseVersion(update.baseVersion())
                        .setData(ByteString.copyFrom(update.data()))
                        .addAllRelayTo(relayTo))
                .build();
    }

    /** Returns nothing for a frame of an earlier build, which names no version. */
    static Optional<ConfigUpdate> configUpdate(CompanionProto.SharedConfig config) {
        return config.getVersion() <= config.getBaseVersion()
                ? Optional.empty()
                : Optional.of(new ConfigUpdate(
                        config.getVersion(),
                        config.getBaseVersion(),
                        config.getData().toByteArray()));
    }

    static Frame request(int stream, ForwardedRequest request, long nowNs) {
        CompanionProto.Request.Builder builder = CompanionProto.Request.newBuilder()
                .setStream(stream)
                .setService(request.service())
                .setMethod(request.method())
                .setUri(request.uri())
                .setRequestId(request.requestId())
                .setRemainingMs(remainingMs(request.deadlineNs(), nowNs))
                .setObjectiveMs(remainingMs(request.objectiveNs(), nowNs))
                .setPriority(request.priority())
                .setIdempotent(request.kind().repeatable())
                .setDownload(request.kind() == RequestKind.DOWNLOAD)
                .setInternal(request.internal())
                .setKeyPlusOne(request.key() + 1)
                .setFingerprint(request.fingerprint());
        for (Header header : request.headers()) {
            builder.addHeaders(header(header));
        }
        if (request.body().length > RequestMemory.SMALL_BODY_BYTES) {
            builder.setBodyLength(request.body().length);
        } else if (request.body().length > 0) {
            builder.setBody(ByteString.copyFrom(request.body()));
        }
        return Frame.newBuilder().setRequest(builder).build();
    }

    static ForwardedRequest request(CompanionProto.Request request, long nowNs) {
        return new ForwardedRequest(
                request.getRequestId(),
                request.getService(),
                request.getMethod(),
                request.getUri(),
                headers(request.getHeadersList()),
                request.getBody().toByteArray(),
                nowNs + TimeUnit.MILLISECONDS.toNanos(request.getRemainingMs()),
                nowNs + TimeUnit.MILLISECONDS.toNanos(request.getObjectiveMs()),
                request.getPriority(),
                kind(request),
                request.getInternal(),
                request.getKeyPlusOne() - 1,
                request.getFingerprint());
    }

    static Frame requestData(int stream, byte[] body, int from, int bytes) {
        return Frame.newBuilder()
                .setRequestData(CompanionProto.RequestData.newBuilder()
                        .setStream(stream)
                        .setData(ByteString.copyFrom(body, from, bytes)))
                .build();
    }

    private static RequestKind kind(CompanionProto.Request request) {
        if (!request.getIdempotent()) {
            return RequestKind.NON_IDEMPOTENT;
        }
        return request.getDownload() ? RequestKind.DOWNLOAD : RequestKind.IDEMPOTENT;
    }

    static Frame cancel(int stream) {
        return Frame.newBuilder()
                .setCancel(CompanionProto.Cancel.newBuilder().setStream(stream))
                .build();
    }

    static Frame credit(int stream, int bytes) {
        return Frame.newBuilder()
                .setCredit(CompanionProto.Credit.newBuilder().setStream(stream).setBytes(bytes))
                .build();
    }

    static Frame responseStart(int stream, ResponseHead head, BackendLoad load) {
        CompanionProto.ResponseStart.Builder builder = CompanionProto.ResponseStart.newBuilder()
                .setStream(stream)
                .setStatus(head.status())
                .setLengthPlusOne(head.length() + 1)
                .setLoad(load(load));
        for (Header header : head.headers()) {
            builder.addHeaders(header(header));
        }
        return Frame.newBuilder().setResponseStart(builder).build();
    }

    static ResponseHead responseStart(CompanionProto.ResponseStart start) {
        return new ResponseHead(start.getStatus(), headers(start.getHeadersList()), start.getLengthPlusOne() - 1);
    }

    static Frame data(int stream, byte[] data, boolean last) {
        return Frame.newBuilder()
                .setResponseData(CompanionProto.ResponseData.newBuilder()
                        .setStream(stream)
                        .setData(ByteString.copyFrom(data))
                        .setLast(last))
                .build();
    }

    static Frame refusal(int stream, Refusal refusal, BackendLoad load) {
        return Frame.newBuilder()
                .setRefusal(CompanionProto.Refusal.newBuilder()
                        .setStream(stream)
                        .setReason(refusal.reason().ordinal())
                        .setRetryAfterMs((int) refusal.retryAfterMs())
                        .setArrived(refusal.reachedBackend())
                        .setLoad(load(load)))
                .build();
    }

    static Refusal refusal(CompanionProto.Refusal refusal) {
        return new Refusal(RefusalReason.of(refusal.getReason()), refusal.getRetryAfterMs(), refusal.getArrived());
    }

    static Frame failure(int stream, SendFailure failure, BackendLoad load) {
        return Frame.newBuilder()
                .setFailure(CompanionProto.Failure.newBuilder()
                        .setStream(stream)
                        .setTimedOut(failure.timedOut())
                        .setLoad(load(load)))
                .build();
    }

    static CompanionProto.Load load(BackendLoad load) {
        return CompanionProto.Load.newBuilder()
                .setRunning(load.running())
                .setQueued(load.queued())
                .setSlots(load.slots())
                .setMeanServiceUs(load.meanServiceUs())
                .setWorkPercent(load.workPercent())
                .build();
    }

    static BackendLoad load(CompanionProto.Load load) {
        int meanUs = load.getMeanServiceUs() < 0 ? UNKNOWN_SERVICE_TIME_US : load.getMeanServiceUs();
        int workPercent = Math.max(0, load.getWorkPercent());
        return new BackendLoad(load.getRunning(), load.getQueued(), Math.max(1, load.getSlots()), meanUs, workPercent);
    }

    static Frame renewal(HolderReport report, long term, int sequence) {
        CompanionProto.Renewal.Builder builder = CompanionProto.Renewal.newBuilder()
                .setTerm(term)
                .setSequence(sequence)
                .setService(report.service())
                .setBackendServing(report.serving())
                .setBackendRun(report.run())
                .setLastFence(report.lastFence())
                .setCapacity((float) report.capacity())
                .setTotalRate((float) report.load().total());
        for (HolderReport.Released released : report.released()) {
            builder.addReleased(CompanionProto.Range.newBuilder()
                    .setFrom(released.range().from())
                    .setTo(released.range().to())
                    .setFence(released.fence())
                    .setHandover(released.handover()));
        }
        report.load()
                .buckets()
                .forEach((bucket, rate) -> builder.addKeyLoads(
                        CompanionProto.KeyLoad.newBuilder().setBucket(bucket).setRate(rate.floatValue())));
        return Frame.newBuilder().setRenewal(builder).build();
    }

    static HolderReport renewal(CompanionProto.Renewal renewal, String instance) {
        List<HolderReport.Released> released = new ArrayList<>();
        for (CompanionProto.Range range : renewal.getReleasedList()) {
            KeyRange keys = new KeyRange(range.getFrom(), range.getTo());
            released.add(new HolderReport.Released(keys, range.getFence(), range.getHandover()));
        }
        Map<Integer, Double> rates = new HashMap<>();
        for (CompanionProto.KeyLoad load : renewal.getKeyLoadsList()) {
            rates.put(load.getBucket(), (double) load.getRate());
        }
        return new HolderReport(
                instance,
                renewal.getService(),
                renewal.getBackendRun(),
                renewal.getBackendServing(),
                renewal.getCapacity(),
                renewal.getLastFence(),
                released,
                new KeyLoad(renewal.getTotalRate(), rates));
    }

    static Frame leaseReply(LeaseReply reply) {
        CompanionProto.LeaseReply.Builder builder = CompanionProto.LeaseReply.newBuilder()
                .setTerm(reply.term())
                .setSequence(reply.sequence())
                .setLeaseMs((int) reply.leaseMs());
        for (KeyRange range : reply.release()) {
            builder.addRelease(
                    CompanionProto.Range.newBuilder().setFrom(range.from()).setTo(range.to()));
        }
        for (SharedRecord record : reply.records()) {
            builder.addRecords(record(record));
        }
        return Frame.newBuilder().setLeaseReply(builder).build();
    }

    static LeaseReply leaseReply(CompanionProto.LeaseReply reply) {
        List<KeyRange> release = new ArrayList<>();
        for (CompanionProto.Range range : reply.getReleaseList()) {
            release.add(new KeyRange(range.getFrom(), range.getTo()));
        }
        return new LeaseReply(
                reply.getTerm(), reply.getSequence(), reply.getLeaseMs(), release, records(reply.getRecordsList()));
    }

    static Frame resignation(long term, boolean acknowledged) {
        return Frame.newBuilder()
                .setResignation(
                        CompanionProto.Resignation.newBuilder().setTerm(term).setAcknowledged(acknowledged))
                .build();
    }

    static Frame sharedRecords(List<SharedRecord> records, boolean complete) {
        CompanionProto.SharedRecords.Builder builder =
                CompanionProto.SharedRecords.newBuilder().setComplete(complete);
        for (SharedRecord record : records) {
            builder.addRecords(record(record));
        }
        return Frame.newBuilder().setSharedRecords(builder).build();
    }

    static Frame leaves(String instance, BackendLeaves leaves) {
        return Frame.newBuilder()
                .setBackendLeaves(LeavesCodec.encode(instance, leaves))
                .build();
    }

    static List<SharedRecord> records(List<CompanionProto.SharedRecord> shared) {
        List<SharedRecord> records = new ArrayList<>();
        for (CompanionProto.SharedRecord record : shared) {
            ByteString value = record.getBaseFence() == 0 ? record.getValue() : record.getChangedRows();
            StoredRecord stored =
                    new StoredRecord(record.getKey(), value.toByteArray(), record.getOffset(), record.getEra());
            records.add(new SharedRecord(stored, record.getBaseFence()));
        }
        return records;
    }

    static Frame suspicions(Suspicion suspicion) {
        CompanionProto.Suspicions.Builder builder = CompanionProto.Suspicions.newBuilder();
        builder.addFingerprints(suspicion.fingerprint());
        suspicion.lostAt().forEach(run -> builder.addLostAt(run.id()));
        suspicion.cleared().forEach(run -> builder.addCleared(run.id()));
        return Frame.newBuilder().setSuspicions(builder).build();
    }

    static List<Suspicion> suspicions(CompanionProto.Suspicions frame) {
        Set<Incarnation> lostAt = incarnations(frame.getLostAtList());
        Set<Incarnation> cleared = incarnations(frame.getClearedList());
        List<Suspicion> suspicions = new ArrayList<>();
        frame.getFingerprintsList().forEach(fingerprint -> suspicions.add(new Suspicion(fingerprint, lostAt, cleared)));
        return suspicions;
    }

    private static Set<Incarnation> incarnations(List<Long> ids) {
        Set<Incarnation> incarnations = new HashSet<>();
        ids.forEach(id -> incarnations.add(new Incarnation(id)));
        return incarnations;
    }

    private static CompanionProto.SharedRecord record(SharedRecord shared) {
        StoredRecord record = shared.record();
        CompanionProto.SharedRecord.Builder builder = CompanionProto.SharedRecord.newBuilder()
                .setKey(record.key())
                .setOffset(record.offset())
                .setEra(record.era());
        ByteString value = ByteString.copyFrom(record.value());
        if (shared.isWhole()) {
            builder.setValue(value);
        } else {
            builder.setBaseFence(shared.baseFence()).setChangedRows(value);
        }
        return builder.build();
    }

    private static CompanionProto.Header header(Header header) {
        return CompanionProto.Header.newBuilder()
                .setName(header.name())
                .setValue(header.value())
                .build();
    }

    private static List<Header> headers(List<CompanionProto.Header> headers) {
        List<Header> converted = new ArrayList<>(headers.size());
        headers.forEach(header -> converted.add(new Header(header.getName(), header.getValue())));
        return converted;
    }

    private static int remainingMs(long atNs, long nowNs) {
        return (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(atNs - nowNs));
    }
}
