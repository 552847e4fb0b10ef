package org.siskintiller.standin;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a command line that does not parse, or that returns exit code 0 for a wrong option. */
class StandinMainTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final CommandLine commandLine =
            StandinMain.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));

    @Test
    void everySubcommandHasHelpAndVersion() {
        for (String name : commandLine.getSubcommands().keySet()) {
            assertThat(commandLine.execute(name, "--help")).isEqualTo(0);
            assertThat(commandLine.execute(name, "--version")).isEqualTo(0);
        }
        assertThat(out.toString()).contains("--port");
        assertThat(out.toString()).contains("standin development");
    }

    @Test
    void unknownOptionIsAUsageError() {
        assertThat(commandLine.execute("log", "--no-such-option")).isEqualTo(2);
    }

    @Test
    void failurePrintsItsReason() {
        assertThat(commandLine.execute("log", "--max-batch-records", "0")).isEqualTo(1);
        assertThat(err.toString()).contains("largest batch");
    }
}
