package org.siskintiller.ctl;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.node.ArrayNode;
import org.siskintiller.config.ClusterConfigDiff;
import org.siskintiller.config.ConfigProblem;
import org.siskintiller.config.Parsed;

/** Reads INI files and reports their problems. */
final class ConfigFiles {

    private ConfigFiles() {}

    /** Reads and parses a file. A file that cannot be read is reported as a problem, like invalid content. */
    static <T> Parsed<T> read(Path file, BiFunction<String, String, Parsed<T>> parser) {
        String text;
        try {
            text = Files.readString(file);
        } catch (NoSuchFileException e) {
            return unreadable(file, "does not exist", "check the path");
        } catch (CharacterCodingException e) {
            return unreadable(file, "is not UTF-8 text", "save it as UTF-8");
        } catch (IOException e) {
            return unreadable(file, "cannot be read: " + e.getMessage(), "check its permissions");
        }
        return parser.apply(file.toString(), text);
    }

    static Report invalid(List<ConfigProblem> problems) {
        Report report = new Report(ExitCode.INVALID, "invalid");
        ArrayNode list = report.json().putArray("problems");
        for (ConfigProblem problem : problems) {
            report.line(problem.toString());
            list.addObject()
                    .put("file", problem.file())
                    .put("section", problem.section())
                    .put("key", problem.key())
                    .put("problem", problem.problem())
                    .put("remedy", problem.remedy());
        }
        return report.line(
                problems.size() + (problems.size() == 1 ? " problem" : " problems") + "; nothing was changed");
    }

    static void addChanges(Report report, List<ClusterConfigDiff.Change> changes) {
        ArrayNode list = report.json().putArray("changes");
        for (ClusterConfigDiff.Change change : changes) {
            report.line("  " + change);
            list.addObject()
                    .put("section", change.section())
                    .put("key", change.key())
                    .put("from", change.from())
                    .put("to", change.to());
        }
    }

    private static <T> Parsed<T> unreadable(Path file, String problem, String remedy) {
        return new Parsed.Invalid<>(List.of(new ConfigProblem(file.toString(), "", "", problem, remedy)));
    }
}
