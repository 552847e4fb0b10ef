package org.siskintiller.ctl;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Result of a command in two forms: lines for people and one JSON document for programs. */
final class Report {
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private int exitCode;
    private final ObjectNode json = MAPPER.createObjectNode();
    private final List<String> lines = new ArrayList<>();

    /**
     * Creates a report.
     *
     * @param outcome identifier of the outcome for programs
     */
    Report(int exitCode, String outcome) {
        this.exitCode = exitCode;
        json.put("outcome", outcome);
    }

    /** Report of a command that failed, with a remedy. */
    static Report failure(int exitCode, String outcome, String message, String remedy) {
        Report report = new Report(exitCode, outcome);
        report.json.put("message", message).put("remedy", remedy);
        return report.line(message).line(remedy);
    }

    Report line(String line) {
        lines.add(line);
        return this;
    }

    /** Replaces exit code and outcome when a later step of the command fails. */
    Report replaceOutcome(int newExitCode, String outcome) {
        exitCode = newExitCode;
        json.put("outcome", outcome);
        return this;
    }

    ObjectNode json() {
        return json;
    }

    int exitCode() {
        return exitCode;
    }

    void print(boolean asJson, PrintWriter out, PrintWriter err) {
        if (asJson) {
            out.println(text());
        } else {
            PrintWriter target = exitCode == ExitCode.OK ? out : err;
            lines.forEach(target::println);
        }
        out.flush();
        err.flush();
    }

    private String text() {
        try {
            return MAPPER.writeValueAsString(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of values is always valid JSON", e);
        }
    }
}
