package org.siskintiller.core.replay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.StateImage;
import org.siskintiller.core.model.StateImage.EndedSession;
import org.siskintiller.core.model.StateImage.RemovedCustomer;

/** Immutable state that results from the replay of the control stream. An updated state shares all unchanged parts. */
public final class ClusterState {
    public static final ClusterState EMPTY = new ClusterState(new Builder());

    private final long appliedOffset;
    private final long snapshotOffset;
    private final long configVersion;
    private final ClusterConfig config;
    private final PersistentMap<Incarnation, Session> open;
    private final PersistentMap<Incarnation, EndedSession> ended;
    private final PersistentMap<String, List<Incarnation>> sessionsByService;
    private final PersistentMap<String, SlotTable> slots;
    private final PersistentMap<HotKey, Assignment> hotKeys;
    private final PersistentMap<String, RemovedCustomer> removed;
    private final PersistentMap<OperationId, Long> operations;

    private ClusterState(Builder builder) {
        appliedOffset = builder.appliedOffset;
        snapshotOffset = builder.snapshotOffset;
        configVersion = builder.configVersion;
        config = builder.config;
        open = builder.open;
        ended = builder.ended;
        sessionsByService = builder.sessionsByService;
        slots = builder.slots;
        hotKeys = builder.hotKeys;
        removed = builder.removed;
        operations = builder.operations;
    }

    /** Restores the state from a snapshot. */
    public static ClusterState of(StateImage image) {
        Builder builder = new Builder();
        builder.appliedOffset = image.appliedOffset();
        builder.snapshotOffset = image.appliedOffset();
        builder.configVersion = image.configVersion();
        builder.config = image.config();
        for (ServiceConfig service : image.config().services()) {
            builder.slots = builder.slots.with(service.name(), SlotTable.empty(service.slots()));
        }
        List<Session> sessions = new ArrayList<>(image.openSessions());
        sessions.sort(Comparator.comparingLong(Session::openedOffset));
        sessions.forEach(builder::openSession);
        image.endedSessions().forEach(end -> builder.ended = builder.ended.with(end.incarnation(), end));
        new ImageReader(builder).readSlots(image.slots());
        image.hotKeys()
                .forEach(entry -> builder.hotKeys =
                        builder.hotKeys.with(new HotKey(entry.service(), entry.key()), entry.assignment()));
        image.removedCustomers()
                .forEach(customer -> builder.removed = builder.removed.with(customer.customer(), customer));
        image.operations()
                .forEach(operation -> builder.operations = builder.operations.with(operation.id(), operation.offset()));
        return new ClusterState(builder);
    }

    /** Returns the snapshot of this state, with all lists sorted. */
    public StateImage image() {
        return ImageWriter.write(this);
    }

    /** Offset of the last applied record, -1 before the first. */
    public long appliedOffset() {
        return appliedOffset;
    }

    /** Offset through which the newest known snapshot reaches, -1 without one. */
    public long snapshotOffset() {
        return snapshotOffset;
    }

    /** Version of the configuration and its active preset, 0 before the first configuration. */
    public long configVersion() {
        return configVersion;
    }

    public ClusterConfig config() {
        return config;
    }

    /** Returns a session if it is open. */
    public Optional<Session> session(Incarnation incarnation) {
        return Optional.ofNullable(open.get(incarnation));
    }

    public boolean isOpen(Incarnation incarnation) {
        return open.containsKey(incarnation);
    }

    /** Returns the end of a session, as long as it is retained. */
    public Optional<EndedSession> ended(Incarnation incarnation) {
        return Optional.ofNullable(ended.get(incarnation));
    }

    /** Open sessions of a service in the order in which they opened. */
    public List<Incarnation> sessionsOf(String service) {
        List<Incarnation> sessions = sessionsByService.get(service);
        return sessions == null ? List.of() : sessions;
    }

    public int openSessionCount() {
        return open.size();
    }

    public void forEachOpenSession(Consumer<Session> action) {
        open.forEach((incarnation, session) -> action.accept(session));
    }

    public void forEachEndedSession(Consumer<EndedSession> action) {
        ended.forEach((incarnation, end) -> action.accept(end));
    }

    /** Number of slots of a service, 0 for an unknown one. */
    public int slotCount(String service) {
        SlotTable table = slots.get(service);
        return table == null ? 0 : table.slotCount();
    }

    /** Assignment of a slot, Assignment.NONE before its first one. */
    public Assignment assignment(String service, int slot) {
        SlotTable table = slots.get(service);
        return table == null ? Assignment.NONE : table.get(slot);
    }

    /** Visits all slots that have been assigned, service by service. */
    public void forEachAssignment(BiConsumer<SlotId, Assignment> action) {
        slots.forEach((service, table) -> {
            for (int slot = 0; slot < table.slotCount(); slot++) {
                Assignment assignment = table.get(slot);
                if (assignment.version() > 0) {
                    action.accept(new SlotId(service, slot), assignment);
                }
            }
        });
    }

    /** Separate assignment of a hot key, if it has one. */
    public Optional<Assignment> hotKey(String service, String key) {
        return Optional.ofNullable(hotKeys.get(new HotKey(service, key)));
    }

    public void forEachHotKey(HotKeyVisitor action) {
        hotKeys.forEach((hotKey, assignment) -> action.visit(hotKey.service, hotKey.key, assignment));
    }

    /** Removed customers, sorted by name. */
    public List<RemovedCustomer> removedCustomers() {
        List<RemovedCustomer> customers = new ArrayList<>();
        removed.forEach((name, customer) -> customers.add(customer));
        customers.sort(Comparator.comparing(RemovedCustomer::customer));
        return Collections.unmodifiableList(customers);
    }

    public Optional<RemovedCustomer> removedCustomer(String customer) {
        return Optional.ofNullable(removed.get(customer));
    }

    public boolean hasApplied(OperationId id) {
        return operations.containsKey(id);
    }

    void forEachOperation(BiConsumer<OperationId, Long> action) {
        operations.forEach(action);
    }

    Builder toBuilder() {
        Builder builder = new Builder();
        builder.appliedOffset = appliedOffset;
        builder.snapshotOffset = snapshotOffset;
        builder.configVersion = configVersion;
        builder.config = config;
        builder.open = open;
        builder.ended = ended;
        builder.sessionsByService = sessionsByService;
        builder.slots = slots;
        builder.hotKeys = hotKeys;
        builder.removed = removed;
        builder.operations = operations;
        return builder;
    }

    /** Receives hot keys with their assignments. */
    public interface HotKeyVisitor {
        void visit(String service, String key, Assignment assignment);
    }

    /** Hot key of a service. */
    record HotKey(String service, String key) {}

    /** Mutable copy that one replay step changes. */
    static final class Builder {
        long appliedOffset = -1;
        long snapshotOffset = -1;
        long configVersion;
        ClusterConfig config = ClusterConfig.EMPTY;
        PersistentMap<Incarnation, Session> open = PersistentMap.empty();
        PersistentMap<Incarnation, EndedSession> ended = PersistentMap.empty();
        PersistentMap<String, List<Incarnation>> sessionsByService = PersistentMap.empty();
        PersistentMap<String, SlotTable> slots = PersistentMap.empty();
        PersistentMap<HotKey, Assignment> hotKeys = PersistentMap.empty();
        PersistentMap<String, RemovedCustomer> removed = PersistentMap.empty();
        PersistentMap<OperationId, Long> operations = PersistentMap.empty();

        void openSession(Session session) {
            String service = session.backendServer().service();
            List<Incarnation> existing = sessionsByService.get(service);
            List<Incarnation> sessions = existing == null ? new ArrayList<>() : new ArrayList<>(existing);
            sessions.add(session.incarnation());
            sessionsByService = sessionsByService.with(service, List.copyOf(sessions));
            open = open.with(session.incarnation(), session);
        }

        void endSession(Session session, Incarnation endedBy) {
            String service = session.backendServer().service();
            List<Incarnation> sessions = new ArrayList<>(sessionsByService.get(service));
            sessions.remove(session.incarnation());
            sessionsByService = sessionsByService.with(service, List.copyOf(sessions));
            open = open.without(session.incarnation());
            ended = ended.with(session.incarnation(), new EndedSession(session.incarnation(), appliedOffset, endedBy));
        }

        ClusterState build() {
            return new ClusterState(this);
        }
    }
}
