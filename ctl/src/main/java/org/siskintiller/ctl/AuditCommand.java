package org.siskintiller.ctl;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ArrayNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the audit trail. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Prints who changed what, from which value to which, with offset and outcome. Conditions are"
                + " combined. With --operation it shows the outcome of a change whose response was lost.")
final class AuditCommand extends LogCommand {

    @Option(names = "--from", paramLabel = "OFFSET", defaultValue = "0", description = "First offset to show.")
    private long fromOffset;

    @Option(names = "--since", paramLabel = "TIME", description = "Earliest time, as 2026-12-04T08:00:00Z.")
    private Instant since;

    @Option(names = "--until", paramLabel = "TIME", description = "Latest time.")
    private Instant until;

    @Option(
            names = "--kind",
            paramLabel = "KIND",
            split = ",",
            description = "One or more of: ${COMPLETION-CANDIDATES}.")
    private Set<AuditKind> kinds = new HashSet<>();

    @Option(names = "--who", paramLabel = "NAME", description = "Operator, instance or session.")
    private String who;

    @Option(names = "--customer", paramLabel = "NAME", description = "Changes that concern this customer.")
    private String customer;

    @Option(names = "--key", paramLabel = "SERVICE/KEY", description = "Assignments that concern this key.")
    private AuditFilter.Key key;

    @Option(names = "--operation", paramLabel = "ID", description = "The record with this operation id.")
    private String operationId;

    private AuditTrail trail;

    AuditCommand(Environment env) {
        super(env);
    }

    @Override
    void prepare(ControlAccess access) {
        AuditFilter filter = new AuditFilter(
                fromOffset,
                since == null ? Long.MIN_VALUE : since.toEpochMilli(),
                until == null ? Long.MAX_VALUE : until.toEpochMilli(),
                kinds,
                who,
                customer,
                key,
                operationId);
        trail = new AuditTrail(filter, access.names());
        access.stream().addVisitor(trail);
    }

    @Override
    Report run(ControlAccess access) {
        List<AuditRow> rows = trail.rows();
        if (operationId != null && rows.isEmpty()) {
            long through = access.stream().nextOffset() - 1;
            Report report = Report.failure(
                    ExitCode.UNKNOWN,
                    "unknown",
                    "operation " + operationId + " is not in the log through offset " + through,
                    "it may still arrive; look again, or repeat the change, which takes effect at most once per version");
            report.json().put("operationId", operationId).put("searchedThrough", through);
            return report;
        }
        Report report = new Report(ExitCode.OK, "listed");
        ArrayNode list = report.json().putArray("records");
        for (AuditRow row : rows) {
            report.line(row.toLine());
            list.addObject()
                    .put("offset", row.offset())
                    .put("time", Instant.ofEpochMilli(row.timeMs()).toString())
                    .put("operationId", row.operationId())
                    .put("kind", row.kind().name().toLowerCase(Locale.ROOT))
                    .put("who", row.who())
                    .put("what", row.what())
                    .put("from", row.from())
                    .put("to", row.to())
                    .put("outcome", row.outcome());
        }
        return report;
    }
}
