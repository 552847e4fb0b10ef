package org.siskintiller.ctl;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.siskintiller.config.ClusterConfigParser;
import org.siskintiller.config.Parsed;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.Session;

/** Runs the tool against an in-memory log and companions with fixed responses. */
final class CtlRig {
    static final String CONFIG =
            """
            [cluster]
            active_preset = ordinary
            [service lookup]
            keyed = true
            idempotent = true
            checks_fence = true
            slots = 4
            longest_request_ms = 500
            default_rank = urgent
            [rank urgent]
            order = 0
            target_ms = 50
            [customer growers]
            weight = 2
            [preset ordinary]
            [preset ordinary rank urgent]
            guaranteed_share_percent = 60
            [preset peak]
            [preset peak rank urgent]
            guaranteed_share_percent = 80
            """;

    final FakeLog log = new FakeLog();
    final Map<String, String> companions = new HashMap<>();
    private final List<String> ids = new ArrayList<>();
    private long nextId;
    private int exitCode;
    private String out = "";
    private String err = "";

    static ClusterConfig config(String text) {
        return ((Parsed.Ok<ClusterConfig>) ClusterConfigParser.parse("cluster.ini", text)).value();
    }

    /** Session with session 1 as its witness, since replay refuses one without witnesses while others are open. */
    static Session session(int number) {
        return session(number, number);
    }

    /** Session of a companion that restarted at the addresses of an earlier one. */
    static Session session(int number, Session earlier) {
        return session(number, (int) earlier.incarnation().id());
    }

    private static Session session(int number, int addressNumber) {
        return new Session(
                new Incarnation(number),
                "i" + number,
                "a",
                new Address("127.0.0.1", 7000 + addressNumber),
                new Address("127.0.0.1", 8000 + addressNumber),
                new BackendServer("lookup", new Address("127.0.0.1", 9000 + addressNumber), 12, 130),
                number == 1 ? List.of() : List.of(new Incarnation(1)),
                0,
                -1,
                false);
    }

    /** Publishes the configuration as version 1 and opens sessions. */
    CtlRig withSessions(int count) {
        log.add(new LogRecord.ConfigPublished(0, config(CONFIG), "setup"));
        for (int number = 1; number <= count; number++) {
            log.add(new LogRecord.SessionOpened(session(number)));
        }
        return this;
    }

    /** Runs a command with the options of log and operator and returns its exit code. */
    int run(String... args) {
        List<String> allArgs = new ArrayList<>(List.of(args));
        allArgs.addAll(List.of("--log", "127.0.0.1:1", "--json"));
        return runPlain(allArgs.toArray(new String[0]));
    }

    int runAs(String operator, String... args) {
        List<String> allArgs = new ArrayList<>(List.of(args));
        allArgs.addAll(List.of("--operator", operator));
        return run(allArgs.toArray(new String[0]));
    }

    int runPlain(String... args) {
        StringWriter outText = new StringWriter();
        StringWriter errText = new StringWriter();
        Environment env = new Environment(
                new PrintWriter(outText), new PrintWriter(errText), address -> log, this::respond, this::nextId, log);
        exitCode = CtlMain.run(env, args);
        out = outText.toString();
        err = errText.toString();
        return exitCode;
    }

    String out() {
        return out;
    }

    String err() {
        return err;
    }

    JsonNode json() {
        try {
            return new ObjectMapper().readTree(out);
        } catch (JsonProcessingException e) {
            throw new AssertionError("no JSON document: " + out + err, e);
        }
    }

    /** Operation id of the tool's append with this number, counted from 1. */
    String operationId(int number) {
        return ids.get(number - 1);
    }

    static String write(Path folder, String text) {
        try {
            return Files.writeString(folder.resolve("cluster.ini"), text).toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private OperationId nextId() {
        OperationId id = new OperationId(7, ++nextId);
        ids.add(id.toString());
        return id;
    }

    private CompanionClient.Result respond(Address companion, String path) {
        String body = companions.get(companion.toString());
        if (body == null) {
            return new CompanionClient.Unreachable("connection refused");
        }
        try {
            return new CompanionClient.Response(new ObjectMapper().readTree(body));
        } catch (JsonProcessingException e) {
            throw new AssertionError(body, e);
        }
    }
}
