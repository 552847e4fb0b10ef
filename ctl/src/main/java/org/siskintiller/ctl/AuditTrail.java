package org.siskintiller.ctl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import org.siskintiller.config.ClusterConfigDiff;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.HotKeyChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Outcome;

/** Converts replayed records to rows: who changed what, from which value to which, and with which outcome. */
final class AuditTrail implements RecordVisitor {
    private final AuditFilter filter;
    private final SessionNames names;
    private final List<AuditRow> rows = new ArrayList<>();

    AuditTrail(AuditFilter filter, SessionNames names) {
        this.filter = filter;
        this.names = names;
    }

    List<AuditRow> rows() {
        return List.copyOf(rows);
    }

    @Override
    public void visit(ReplayedRecord replayed) {
        LogRecord record = replayed.entry().record();
        if (record instanceof LogRecord.SlotsAssigned assigned) {
            addAssignment(replayed, assigned);
        } else if (record instanceof LogRecord.SlotsActivated activated) {
            addActivation(replayed, activated);
        } else if (record instanceof LogRecord.HotKeysAssigned assigned) {
            addHotKeys(replayed, assigned);
        } else if (record instanceof LogRecord.ConfigPublished published) {
            addConfig(replayed, published);
        } else if (record instanceof LogRecord.CustomerRemoved removed) {
            addCustomer(replayed, removed.operator(), removed.customer(), "removal", "served", "removed");
        } else if (record instanceof LogRecord.DepartureConfirmed confirmed) {
            String who = names.name(replayed.before(), confirmed.incarnation());
            String removal = "removed at offset " + confirmed.removalOffset();
            addCustomer(replayed, who, confirmed.customer(), "departure", removal, "confirmed");
        } else if (record instanceof LogRecord.DepartureProved proved) {
            String removal = "removed at offset " + proved.removalOffset();
            String proof = "proved with " + proved.confirmed().size() + " confirmations";
            addCustomer(replayed, proved.operator(), proved.customer(), "departure", removal, proof);
        } else if (!filter.hasCustomerOrKey()) {
            addOther(replayed, record);
        }
    }

    private void addOther(ReplayedRecord replayed, LogRecord record) {
        ClusterState before = replayed.before();
        if (record instanceof LogRecord.PresetSwitched switched) {
            String from = before.config().activePreset();
            add(replayed, AuditKind.PRESET, switched.operator(), "preset", from, switched.preset());
        } else if (record instanceof LogRecord.DrainRequested drain) {
            String what = "drain of " + names.name(before, drain.incarnation());
            add(replayed, AuditKind.DRAIN, drain.requestedBy(), what, "serving", "draining");
        } else if (record instanceof LogRecord.SessionOpened opened) {
            Session session = opened.session();
            String what = "session of service " + session.backendServer().service() + " in " + session.failureDomain();
            String replaced = SessionNames.replacedSessions(before, session).stream()
                    .map(replacedSession -> names.name(before, replacedSession.incarnation()))
                    .collect(Collectors.joining(", "));
            String to = replaced.isEmpty() ? "open" : "open in place of " + replaced;
            add(replayed, AuditKind.SESSION, names.name(before, session.incarnation()), what, "", to);
        } else if (record instanceof LogRecord.SessionEnded ended) {
            String what = "session " + names.name(before, ended.incarnation());
            add(replayed, AuditKind.SESSION, names.name(before, ended.endedBy()), what, "open", "ended by witnesses");
        } else if (record instanceof LogRecord.SessionClosed closed) {
            add(replayed, AuditKind.SESSION, names.name(before, closed.incarnation()), "session", "open", "closed");
        } else if (record instanceof LogRecord.WitnessesChanged changed) {
            String from = before.session(changed.incarnation())
                    .map(session -> describe(before, session.witnesses()))
                    .orElse("");
            String who = names.name(before, changed.incarnation());
            add(replayed, AuditKind.SESSION, who, "witnesses", from, describe(before, changed.witnesses()));
        } else if (record instanceof LogRecord.Snapshot snapshot) {
            String to = "through offset " + snapshot.throughOffset();
            add(replayed, AuditKind.SNAPSHOT, "companion", "snapshot", "", to);
        } else if (record instanceof LogRecord.Audited audited) {
            AuditEntry entry = audited.entry();
            String outcome = entry.outcome().isEmpty() ? outcome(replayed) : entry.outcome();
            add(row(replayed, AuditKind.OTHER, entry.who(), entry.what(), entry.from(), entry.to(), outcome));
        }
    }

    private void addConfig(ReplayedRecord replayed, LogRecord.ConfigPublished published) {
        List<ClusterConfigDiff.Change> changes =
                ClusterConfigDiff.between(replayed.before().config(), published.config());
        if (filter.key() != null) {
            return;
        }
        if (filter.customer() != null) {
            changes = changes.stream()
                    .filter(change -> change.section().equals("customer " + filter.customer()))
                    .toList();
            if (changes.isEmpty()) {
                return;
            }
        }
        String to = "version " + (published.baseVersion() + 1) + " with " + changes.size() + " changed values"
                + changes.stream().map(change -> "; " + change).collect(Collectors.joining());
        add(
                replayed,
                AuditKind.CONFIG,
                published.operator(),
                "configuration",
                "version " + published.baseVersion(),
                to);
    }

    private void addCustomer(
            ReplayedRecord replayed, String who, String customer, String what, String from, String to) {
        if (!filter.hasCustomerOrKey() || filter.includesCustomer(customer)) {
            add(replayed, AuditKind.CUSTOMER, who, what + " of customer " + customer, from, to);
        }
    }

    /** Adds one row for all slots that move between the same candidates. */
    private void addAssignment(ReplayedRecord replayed, LogRecord.SlotsAssigned assigned) {
        ClusterState before = replayed.before();
        Map<Move, List<Integer>> moves = new LinkedHashMap<>();
        for (AssignmentChange change : assigned.changes()) {
            if (!filter.includesSlot(before, assigned.service(), change.slot())) {
                continue;
            }
            Assignment current = before.assignment(assigned.service(), change.slot());
            boolean isVoid = voidSlots(replayed).contains(change.slot());
            moves.computeIfAbsent(
                            new Move(current.candidates(), change.candidates(), isVoid), move -> new ArrayList<>())
                    .add(change.slot());
        }
        String who = names.name(before, assigned.proposer());
        moves.forEach((move, slots) -> {
            String what = "assignment of " + assigned.service() + " slots " + slots + " (" + assigned.reason() + ")";
            String outcome = move.isVoid() ? "void: another change of the slots came first" : outcome(replayed);
            add(row(
                    replayed,
                    AuditKind.ASSIGNMENT,
                    who,
                    what,
                    describe(before, move.from()),
                    describe(before, move.to()),
                    outcome));
        });
    }

    private void addActivation(ReplayedRecord replayed, LogRecord.SlotsActivated activated) {
        List<Integer> slots = new ArrayList<>();
        for (SlotVersion slot : activated.slots()) {
            if (filter.includesSlot(replayed.before(), activated.service(), slot.slot())) {
                slots.add(slot.slot());
            }
        }
        if (!slots.isEmpty()) {
            String who = names.name(replayed.before(), activated.incarnation());
            String what = "activation of " + activated.service() + " slots " + slots;
            add(replayed, AuditKind.ASSIGNMENT, who, what, "assigned", "served by " + who);
        }
    }

    private void addHotKeys(ReplayedRecord replayed, LogRecord.HotKeysAssigned assigned) {
        ClusterState before = replayed.before();
        for (HotKeyChange change : assigned.changes()) {
            if (filter.includesHotKey(assigned.service(), change.key())) {
                List<Incarnation> from = before.hotKey(assigned.service(), change.key())
                        .map(Assignment::candidates)
                        .orElse(List.of());
                String what = "assignment of " + assigned.service() + " hot key " + change.key();
                String to = change.candidates().isEmpty() ? "its slot" : describe(before, change.candidates());
                String who = names.name(before, assigned.proposer());
                add(replayed, AuditKind.ASSIGNMENT, who, what, describe(before, from), to);
            }
        }
    }

    private void add(ReplayedRecord replayed, AuditKind kind, String who, String what, String from, String to) {
        add(row(replayed, kind, who, what, from, to, outcome(replayed)));
    }

    private void add(AuditRow row) {
        if (filter.matches(row)) {
            rows.add(row);
        }
    }

    private static AuditRow row(
            ReplayedRecord replayed, AuditKind kind, String who, String what, String from, String to, String outcome) {
        return new AuditRow(
                replayed.entry().offset(),
                replayed.timeMs(),
                replayed.entry().operationId().toString(),
                kind,
                who,
                what,
                from,
                to,
                outcome);
    }

    private static List<Integer> voidSlots(ReplayedRecord replayed) {
        return replayed.outcome().isPresent() && replayed.outcome().get() instanceof Outcome.Accepted accepted
                ? accepted.voidSlots()
                : List.of();
    }

    private static String outcome(ReplayedRecord replayed) {
        if (replayed.outcome().isEmpty()) {
            return "not replayed; it precedes the first snapshot";
        }
        if (replayed.outcome().get() instanceof Outcome.Void cause) {
            return "void: " + cause.reason().name().toLowerCase(Locale.ROOT).replace('_', '-') + ", " + cause.detail();
        }
        return "accepted";
    }

    private String describe(ClusterState state, List<Incarnation> candidates) {
        return candidates.stream()
                .map(incarnation -> names.name(state, incarnation))
                .collect(Collectors.joining(", "));
    }

    private record Move(List<Incarnation> from, List<Incarnation> to, boolean isVoid) {}
}
