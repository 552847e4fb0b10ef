package org.siskintiller.node.runtime;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.core.gate.GateStats;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.ownership.KeyHash;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.node.operator.CompanionView;

/** Status of the running companion for operators, as JSON. */
final class RuntimeView implements CompanionView {
    private final CompanionRuntime runtime;

    RuntimeView(CompanionRuntime runtime) {
        this.runtime = runtime;
    }

    @Override
    public ObjectNode status() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("instance", runtime.settings().instance());
        root.put("failureDomain", runtime.settings().failureDomain());
        Optional<Generation> current = runtime.generation();
        root.put("started", current.isPresent());
        if (current.isEmpty()) {
            return root;
        }
        Generation generation = current.get();
        ClusterState state = generation.control().state();
        root.put("incarnation", generation.incarnation().toString());
        root.put("service", generation.session().backendServer().service());
        root.put("configVersion", state.configVersion());
        root.put("activePreset", state.config().activePreset());
        root.put("appliedOffset", state.appliedOffset());
        root.put("logAvailable", generation.logAvailable());
        root.putObject("lease").put("held", generation.control().holdsLease());
        root.put("ownedSlots", generation.slots().openSlots().size());
        addSlots(root, generation);
        addGate(root, generation.gate().stats());
        addSessions(root, state);
        return root;
    }

    private static void addSlots(ObjectNode root, Generation generation) {
        ArrayNode slots = root.putArray("slots");
        generation.slots().openSlots().forEach((slot, fence) -> slots.addObject()
                .put("slot", slot)
                .put("version", fence.version())
                .put("candidateIndex", fence.candidateIndex()));
    }

    private static void addGate(ObjectNode root, GateStats stats) {
        ObjectNode gate = root.putObject("gate");
        gate.put("queued", stats.queued());
        gate.put("inFlight", stats.inFlight());
        gate.put("limit", stats.limit());
        gate.put("dispatched", stats.dispatched());
        gate.put("answered", stats.completed());
        ObjectNode refused = gate.putObject("refused");
        stats.refused().forEach((kind, count) -> refused.put(kind.name(), count));
    }

    private static void addSessions(ObjectNode root, ClusterState state) {
        ArrayNode sessions = root.putArray("sessions");
        state.forEachOpenSession(session -> {
            ObjectNode node = sessions.addObject();
            node.put("instance", session.instance());
            node.put("incarnation", session.incarnation().toString());
            node.put("failureDomain", session.failureDomain());
            node.put("service", session.backendServer().service());
            node.put("http", session.httpAddress().toString());
            node.put("peer", session.peerAddress().toString());
            node.put("draining", session.draining());
            ArrayNode witnesses = node.putArray("witnesses");
            session.witnesses().forEach(witness -> witnesses.add(witness.toString()));
        });
    }

    @Override
    public Optional<ObjectNode> owner(String service, String key) {
        Optional<Generation> current = runtime.generation();
        if (current.isEmpty()) {
            return Optional.empty();
        }
        ClusterState state = current.get().control().state();
        Optional<ServiceConfig> config = state.config().service(service);
        if (config.isEmpty()) {
            return Optional.empty();
        }
        int slot = KeyHash.slotOf(service, key, config.get().slots());
        Optional<Assignment> hotKey = state.hotKey(service, key);
        Assignment assignment = hotKey.orElseGet(() -> state.assignment(service, slot));
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("service", service);
        root.put("key", key);
        root.put("slot", slot);
        root.put("version", assignment.version());
        root.put("reason", reason(hotKey.isPresent(), assignment));
        ArrayNode candidates = root.putArray("candidates");
        for (Incarnation incarnation : assignment.candidates()) {
            candidates.add(candidate(state, incarnation));
        }
        if (!assignment.candidates().isEmpty()) {
            root.set("owner", candidate(state, assignment.candidates().get(0)));
        }
        return Optional.of(root);
    }

    private static String reason(boolean hotKey, Assignment assignment) {
        if (assignment.candidates().isEmpty()) {
            return "the slot has no assignment yet";
        }
        String active =
                assignment.activatedBy() == null ? "not yet activated" : "activated by " + assignment.activatedBy();
        return (hotKey ? "assignment of the hot key, " : "assignment of the slot, ") + active;
    }

    private static ObjectNode candidate(ClusterState state, Incarnation incarnation) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("incarnation", incarnation.toString());
        node.put("open", state.isOpen(incarnation));
        state.session(incarnation).ifPresent(session -> {
            node.put("instance", session.instance());
            node.put("failureDomain", session.failureDomain());
            node.put("http", session.httpAddress().toString());
        });
        return node;
    }

    @Override
    public boolean isHealthy() {
        return runtime.generation()
                .map(generation -> generation.control().holdsLease())
                .orElse(false);
    }
}
