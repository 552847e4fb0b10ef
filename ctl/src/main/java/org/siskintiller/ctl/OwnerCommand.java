package org.siskintiller.ctl;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.ownership.KeyHash;
import org.siskintiller.core.replay.ClusterState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows which sessions a key is assigned to. */
@Command(
        name = "owner",
        mixinStandardHelpOptions = true,
        description = "Shows the slot, owner and standbys of a key, as assigned in the log.")
final class OwnerCommand extends LogCommand {

    @Parameters(index = "0", paramLabel = "SERVICE", description = "Name of the service.")
    private String service;

    @Parameters(index = "1", paramLabel = "KEY", description = "Key of the request.")
    private String key;

    OwnerCommand(Environment env) {
        super(env);
    }

    @Override
    Report run(ControlAccess access) {
        ClusterState state = access.state();
        int slots = state.slotCount(service);
        if (slots == 0) {
            return Report.failure(
                    ExitCode.REFUSED,
                    "not-found",
                    "service '" + service + "' is not in the configuration",
                    "check the name with 'siskinctl config show'");
        }
        int slot = KeyHash.slotOf(service, key, slots);
        Optional<Assignment> hot = state.hotKey(service, key)
                .filter(assigned -> !assigned.candidates().isEmpty());
        Assignment assignment = hot.orElseGet(() -> state.assignment(service, slot));
        if (assignment.candidates().isEmpty()) {
            return Report.failure(
                    ExitCode.REFUSED,
                    "not-found",
                    "slot " + slot + " of service " + service + " has no owner yet",
                    "look whether the service has open sessions with 'siskinctl status'");
        }
        return describe(access, slot, hot.isPresent(), assignment);
    }

    private Report describe(ControlAccess access, int slot, boolean hot, Assignment assignment) {
        Report report = new Report(ExitCode.OK, "found");
        report.json()
                .put("service", service)
                .put("key", key)
                .put("slot", slot)
                .put("hotKey", hot)
                .put("version", assignment.version())
                .put("activated", assignment.activatedBy() != null);
        report.line("slot " + slot + (hot ? " (hot key with its own assignment)" : "") + ", version "
                + assignment.version() + (assignment.activatedBy() == null ? ", not reported active" : ", active"));
        ArrayNode candidates = report.json().putArray("candidates");
        for (Incarnation candidate : assignment.candidates()) {
            String role = candidates.isEmpty() ? "owner" : "standby " + candidates.size();
            Optional<Session> session = access.names().session(access.state(), candidate);
            boolean open = access.state().isOpen(candidate);
            candidates
                    .addObject()
                    .put("role", role)
                    .put("incarnation", candidate.toString())
                    .put("instance", session.map(Session::instance).orElse(null))
                    .put("failureDomain", session.map(Session::failureDomain).orElse(null))
                    .put(
                            "http",
                            session.map(candidateSession ->
                                            candidateSession.httpAddress().toString())
                                    .orElse(null))
                    .put("open", open);
            report.line("  " + role + ": " + access.names().name(access.state(), candidate)
                    + session.map(candidateSession ->
                                    " in " + candidateSession.failureDomain() + " at " + candidateSession.httpAddress())
                            .orElse("")
                    + (open ? "" : " (ended)"));
        }
        return report;
    }
}
