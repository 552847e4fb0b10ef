package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.util.NetUtil;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.core.quarantine.RecordedLoss;
import org.siskintiller.router.peer.LeavesCodec;
import org.siskintiller.wire.companion.CompanionProto;

/** Keys and contents of the records in the control topic. */
final class ControlRecords {
    static final String AUTHORITY_KEY = "authority";
    static final String MEMBER_PREFIX = "member/";
    static final String KEY_TABLE_PREFIX = "keys/";
    static final String LEAVES_PREFIX = "leave/";
    static final String LOSSES_PREFIX = "suspicions/";

    private ControlRecords() {}

    static String memberKey(String instance) {
        return MEMBER_PREFIX + instance;
    }

    static String keyTableKey(String service) {
        return KEY_TABLE_PREFIX + service;
    }

    static boolean isKeyTable(String key) {
        return key.startsWith(KEY_TABLE_PREFIX);
    }

    /** Service of a key table, by the key of its record. */
    static String serviceOf(String tableKey) {
        return tableKey.substring(KEY_TABLE_PREFIX.length());
    }

    static String lossesKey(String instance) {
        return LOSSES_PREFIX + instance;
    }

    static String leavesKey(String instance) {
        return LEAVES_PREFIX + instance;
    }

    static byte[] encode(Member member) {
        return CompanionProto.MemberRecord.newBuilder()
                .setInstance(member.instance())
                .setHost(member.address().host())
                .setPort(member.address().port())
                .setFailureDomain(member.failureDomain())
                .setService(member.service())
                .build()
                .toByteArray();
    }

    static Member decodeMember(byte[] value) throws InvalidProtocolBufferException {
        CompanionProto.MemberRecord record = CompanionProto.MemberRecord.parseFrom(value);
        // A host name would be looked up on the event loop.
        if (!NetUtil.isValidIpV4Address(record.getHost()) && !NetUtil.isValidIpV6Address(record.getHost())) {
            throw new IllegalArgumentException("host " + record.getHost() + " is no IP number");
        }
        return new Member(
                record.getInstance(),
                new Address(record.getHost(), record.getPort()),
                record.getFailureDomain(),
                record.getService());
    }

    static byte[] encode(String instance, BackendLeaves leaves) {
        return LeavesCodec.encode(instance, leaves).toByteArray();
    }

    /** Decodes the leaves of the backend servers beside an instance. */
    static BackendLeaves decodeLeaves(String instance, byte[] value) throws InvalidProtocolBufferException {
        CompanionProto.BackendLeaves record = CompanionProto.BackendLeaves.parseFrom(value);
        requireNames(instance, record.getInstance());
        return LeavesCodec.decode(record);
    }

    static byte[] encode(String instance, List<RecordedLoss> losses) {
        CompanionProto.LossesRecord.Builder builder =
                CompanionProto.LossesRecord.newBuilder().setInstance(instance);
        for (RecordedLoss loss : losses) {
            CompanionProto.Loss.Builder encoded = builder.addLossesBuilder()
                    .setFingerprint(loss.fingerprint())
                    .setFoundAtMs(loss.foundAtMs());
            // The order of a set differs between processes.
            loss.lostAt().stream().map(Incarnation::id).sorted().forEach(encoded::addLostAt);
        }
        return builder.build().toByteArray();
    }

    /** Decodes losses of the runs beside an instance. A record without a value has none. */
    static List<RecordedLoss> decodeLosses(String instance, byte[] value) throws InvalidProtocolBufferException {
        if (value.length == 0) {
            return List.of();
        }
        CompanionProto.LossesRecord record = CompanionProto.LossesRecord.parseFrom(value);
        requireNames(instance, record.getInstance());
        List<RecordedLoss> losses = new ArrayList<>();
        for (CompanionProto.Loss loss : record.getLossesList()) {
            Set<Incarnation> lostAt = new HashSet<>();
            loss.getLostAtList().forEach(id -> lostAt.add(new Incarnation(id)));
            losses.add(new RecordedLoss(loss.getFingerprint(), lostAt, loss.getFoundAtMs()));
        }
        return losses;
    }

    /** Rejects a record whose content names another subject than its key. */
    static void requireNames(String nameInKey, String nameInRecord) {
        if (!nameInKey.equals(nameInRecord)) {
            throw new IllegalArgumentException("the key names " + nameInKey + ", the record " + nameInRecord);
        }
    }

    static byte[] encode(AuthorityClaim claim) {
        return CompanionProto.AuthorityRecord.newBuilder()
                .setInstance(claim.instance())
                .setIncarnation(claim.incarnation().id())
                .setTerm(claim.term())
                .setResigned(claim.resigned())
                .build()
                .toByteArray();
    }

    static AuthorityClaim decodeClaim(byte[] value) throws InvalidProtocolBufferException {
        CompanionProto.AuthorityRecord record = CompanionProto.AuthorityRecord.parseFrom(value);
        return new AuthorityClaim(
                record.getInstance(), new Incarnation(record.getIncarnation()), record.getTerm(), record.getResigned());
    }

    static byte[] encode(KeyTable table) {
        CompanionProto.KeyTableRecord.Builder builder = CompanionProto.KeyTableRecord.newBuilder()
                .setService(table.service())
                .setTerm(table.term())
                .setLastFence(table.lastFence());
        for (KeyGrant grant : table.grants()) {
            builder.addRows(CompanionProto.KeyRow.newBuilder()
                    .setFrom(grant.range().from())
                    .setTo(grant.range().to())
                    .setHolder(grant.holder())
                    .setRun(grant.run())
                    .setFence(grant.fence())
                    .setHandover(grant.handover()));
        }
        return builder.build().toByteArray();
    }

    static KeyTable decodeKeyTable(byte[] value) throws InvalidProtocolBufferException {
        CompanionProto.KeyTableRecord record = CompanionProto.KeyTableRecord.parseFrom(value);
        List<KeyGrant> grants = new ArrayList<>();
        for (CompanionProto.KeyRow row : record.getRowsList()) {
            KeyRange range = new KeyRange(row.getFrom(), row.getTo());
            grants.add(new KeyGrant(range, row.getHolder(), row.getRun(), row.getFence(), row.getHandover()));
        }
        return new KeyTable(record.getService(), record.getTerm(), record.getLastFence(), grants);
    }
}
