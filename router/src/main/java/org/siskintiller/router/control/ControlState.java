package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.InvalidProtocolBufferException;
import org.siskintiller.core.evacuation.EvacuatedDomains;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.core.lease.StoreEra;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.core.quarantine.RecordedLoss;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.store.StoredRecord;

/** State from the records of the control topic. Applies a record only if it is newer than the known one. */
public final class ControlState {
    private final Map<String, StoredRecord> newest = new HashMap<>();
    private final TreeMap<String, Member> members = new TreeMap<>();
    /** Instance in force at each address. */
    private final Map<Address, String> instances = new HashMap<>();

    private final Map<String, KeyTable> tables = new HashMap<>();
    /** Records of the tables by key. One of an earlier era stays here until a table with a higher fence is read. */
    private final Map<String, StoredRecord> tableRecords = new HashMap<>();

    /** Last fence of the first known table of the present term, by service. */
    private final Map<String, Long> termStartFences = new HashMap<>();

    private final Map<String, List<RecordedLoss>> losses = new HashMap<>();
    private final Map<String, BackendLeaves> leaves = new HashMap<>();
    private AuthorityClaim authority = AuthorityClaim.NONE;
    private EvacuatedDomains evacuatedDomains = EvacuatedDomains.NONE;
    private long era;
    /** End of the topic in the present era. */
    private long end;

    /** Applies a record and returns whether it changed anything. Unreadable records are logged and skipped. */
    public boolean apply(StoredRecord record) {
        raiseEra(record.era());
        if (record.era() == era) {
            end = Math.max(end, record.offset() + 1);
        }
        boolean isTable = ControlRecords.isKeyTable(record.key());
        // Leaves are merged and tables are ordered by fences, so that older records count, too.
        boolean isLeave = record.key().startsWith(ControlRecords.LEAVES_PREFIX);
        if (!isNewer(record) && !isTable && !isLeave) {
            return false;
        }
        boolean changed = true;
        try {
            if (isTable) {
                changed = updateTable(record);
            } else if (isLeave) {
                changed = updateLeaves(record);
            } else {
                update(record);
            }
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            EventLog.log(
                    LogEvent.LOG_MALFORMED, "key", record.key(), "offset", record.offset(), "cause", e.getMessage());
            return false;
        }
        if (isNewer(record)) {
            newest.put(record.key(), record);
        }
        return changed;
    }

    /** Whether no newer record of the key is known, by era and offset. */
    boolean isNewer(StoredRecord record) {
        StoredRecord known = newest.get(record.key());
        return known == null || record.isAfter(known);
    }

    /** Highest known era of the store. */
    public long era() {
        return era;
    }

    /** Sets the era of the store, in which the topic ends before any record that is not known yet. */
    void raiseEra(long newEra) {
        if (newEra > era) {
            era = newEra;
            end = 0;
        }
    }

    /** Returns the newest record of a key in the present era, which the store has. */
    Optional<StoredRecord> storedRecord(String key) {
        return Optional.ofNullable(newest.get(key)).filter(record -> record.era() == era);
    }

    /** Whether the store has the table in force, as the newest record of its key. */
    boolean isTableStored(String service) {
        String key = ControlRecords.keyTableKey(service);
        return !tableRecords.containsKey(key) || storedRecord(key).equals(Optional.of(tableRecords.get(key)));
    }

    /** Records of tables in force that the store does not have. */
    List<StoredRecord> lostTables() {
        List<StoredRecord> lost = new ArrayList<>();
        for (KeyTable table : tables.values()) {
            if (!isTableStored(table.service())) {
                lost.add(tableRecords.get(ControlRecords.keyTableKey(table.service())));
            }
        }
        return lost;
    }

    /** Whether the claim of the authority and all tables were written in the present era, so that none can be lost. */
    boolean established() {
        return StoreEra.ofTerm(authority.term()) >= era
                && tables.values().stream().allMatch(table -> StoreEra.ofTerm(table.term()) >= era);
    }

    /** Whether neither a claim nor a table is known. */
    boolean isNew() {
        return authority.term() == 0 && tables.isEmpty();
    }

    /** Members in force. One whose address a newer record gives to another instance is not, until it registers again. */
    public Map<String, Member> members() {
        return members;
    }

    public AuthorityClaim authority() {
        return authority;
    }

    public Optional<KeyTable> table(String service) {
        return Optional.ofNullable(tables.get(service));
    }

    /** Whether the record is that of a key table in force. */
    boolean isTableInForce(StoredRecord record) {
        return record == tableRecords.get(record.key());
    }

    /** Whether the record is the newest known one of its key. */
    boolean isNewest(StoredRecord record) {
        return record == newest.get(record.key());
    }

    /** Last fence of the first known table of the term in which the table in force was written. */
    long termStartFence(String service) {
        return termStartFences.getOrDefault(service, Long.MAX_VALUE);
    }

    /** Rows of all key tables. */
    int rows() {
        return tables.values().stream().mapToInt(table -> table.grants().size()).sum();
    }

    /** Highest fence of all key tables. */
    long lastFence() {
        return tables.values().stream().mapToLong(KeyTable::lastFence).max().orElse(0);
    }

    /** Losses of runs beside the instance, as its companion has recorded them. */
    List<RecordedLoss> losses(String instance) {
        return losses.getOrDefault(instance, List.of());
    }

    /** Runs that were lost while they ran the request, by the records of all companions. */
    Set<Incarnation> recordedLosses(long fingerprint) {
        Set<Incarnation> recorded = new HashSet<>();
        for (List<RecordedLoss> ofInstance : losses.values()) {
            ofInstance.stream()
                    .filter(loss -> loss.fingerprint() == fingerprint)
                    .forEach(loss -> recorded.addAll(loss.lostAt()));
        }
        return recorded;
    }

    /** Backend servers beside the instance that have left, from records and from other companions. */
    BackendLeaves leaves(String instance) {
        return leaves.getOrDefault(instance, BackendLeaves.NONE);
    }

    /** Leaves by instance that the store does not have. */
    Map<String, BackendLeaves> lostLeaves() {
        Map<String, BackendLeaves> lost = new HashMap<>();
        leaves.forEach((instance, known) -> {
            byte[] value = ControlRecords.encode(instance, known);
            boolean isStored = storedRecord(ControlRecords.leavesKey(instance))
                    .filter(record -> Arrays.equals(record.value(), value))
                    .isPresent();
            if (!isStored && !known.isEmpty()) {
                lost.put(instance, known);
            }
        });
        return lost;
    }

    void addLeaves(String instance, BackendLeaves added) {
        leaves.merge(instance, added, BackendLeaves::merge);
    }

    /** Evacuations by the records of the operator's topic. */
    public EvacuatedDomains evacuatedDomains() {
        return evacuatedDomains;
    }

    void setEvacuatedDomains(EvacuatedDomains domains) {
        evacuatedDomains = domains;
    }

    /** Whether the failure domain of an instance is evacuated. */
    public boolean isEvacuated(String instance) {
        Member member = members.get(instance);
        return member != null && evacuatedDomains.isEvacuated(member.failureDomain());
    }

    /** Returns the record of a key that is in force, to send it to another companion. */
    public Optional<StoredRecord> record(String key) {
        return Optional.ofNullable(tableRecords.getOrDefault(key, newest.get(key)));
    }

    public List<StoredRecord> records() {
        List<StoredRecord> records = new ArrayList<>(newest.values());
        records.addAll(lostTables());
        return records;
    }

    /** End of the known records, ordered by era. */
    long position() {
        return StoreEra.position(era, end);
    }

    /** Offset after the last known record of the present era. */
    public long end() {
        return end;
    }

    /**
     * Applies a table with a higher last fence than the known one. The order of the records does not count: a restored
     * store has an older table, and an append that was sent before may take effect after it.
     */
    private boolean updateTable(StoredRecord record) throws InvalidProtocolBufferException {
        String service = ControlRecords.serviceOf(record.key());
        KeyTable table = ControlRecords.decodeKeyTable(record.value());
        ControlRecords.requireNames(service, table.service());
        KeyTable known = tables.get(service);
        if (known != null && table.lastFence() < known.lastFence()) {
            return false;
        }
        boolean changed = known == null || table.lastFence() > known.lastFence();
        if (changed) {
            tables.put(service, table);
            if (known == null || known.term() != table.term()) {
                termStartFences.put(service, table.lastFence());
            }
        }
        if (changed || isNewer(record)) {
            tableRecords.put(record.key(), record);
        }
        return changed;
    }

    /** Adds leaves. A newer record is reported even if it adds none, since its companion compares it with its own. */
    private boolean updateLeaves(StoredRecord record) throws InvalidProtocolBufferException {
        String instance = record.key().substring(ControlRecords.LEAVES_PREFIX.length());
        BackendLeaves known = leaves(instance);
        addLeaves(instance, ControlRecords.decodeLeaves(instance, record.value()));
        return isNewer(record) || !known.equals(leaves(instance));
    }

    /** Puts a member in force unless a newer record has given its address to another one, and in the place of an older one. */
    private void updateMember(Member member, StoredRecord record) {
        removeMember(member.instance());
        String other = instances.get(member.address());
        if (other != null && newest.get(ControlRecords.memberKey(other)).isAfter(record)) {
            return;
        }
        if (other != null) {
            members.remove(other);
        }
        instances.put(member.address(), member.instance());
        members.put(member.instance(), member);
    }

    private void removeMember(String instance) {
        Member removed = members.remove(instance);
        if (removed != null) {
            instances.remove(removed.address());
        }
    }

    private void update(StoredRecord record) throws InvalidProtocolBufferException {
        String key = record.key();
        if (key.equals(ControlRecords.AUTHORITY_KEY)) {
            AuthorityClaim claim = ControlRecords.decodeClaim(record.value());
            if (claim.term() >= authority.term()) {
                authority = claim;
            }
        } else if (key.startsWith(ControlRecords.MEMBER_PREFIX)) {
            String instance = key.substring(ControlRecords.MEMBER_PREFIX.length());
            if (record.value().length == 0) {
                removeMember(instance);
            } else {
                Member member = ControlRecords.decodeMember(record.value());
                ControlRecords.requireNames(instance, member.instance());
                updateMember(member, record);
            }
        } else if (key.startsWith(ControlRecords.LOSSES_PREFIX)) {
            String instance = key.substring(ControlRecords.LOSSES_PREFIX.length());
            losses.put(instance, ControlRecords.decodeLosses(instance, record.value()));
        }
    }
}
