package org.siskintiller.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static com.google.common.truth.Truth.assertThat;

class CompanionMainTest {
    @TempDir
    private Path folder;

    private int run(String settings, String... arguments) throws IOException {
        Path file = folder.resolve("companion.ini");
        Files.writeString(file, settings);
        CommandLine line = new CommandLine(new CompanionMain());
        String[] all = new String[arguments.length + 2];
        all[0] = "--settings";
        all[1] = file.toString();
        System.arraycopy(arguments, 0, all, 2, arguments.length);
        return line.execute(all);
    }

    /** Guards against a check that accepts settings with which the companion would not start. */
    @Test
    void checksSettings() throws IOException {
        String valid = "[companion]\ninstance = i\nfailure_domain = d\nhttp = 127.0.0.1:0\npeer = 127.0.0.1:0\n"
                + "[log]\naddress = 127.0.0.1:1\n";
        assertThat(run(valid, "--check")).isEqualTo(CompanionMain.EXIT_OK);
        assertThat(run(valid.replace("instance = i\n", ""), "--check")).isEqualTo(CompanionMain.EXIT_SETTINGS);
        assertThat(run(valid.replace("instance = i\n", ""))).isEqualTo(CompanionMain.EXIT_SETTINGS);
    }

    @Test
    void reportsUnreadableFileAndWrongCommandLine() {
        CommandLine line = new CommandLine(new CompanionMain());
        assertThat(line.execute("--settings", folder.resolve("missing").toString()))
                .isEqualTo(CompanionMain.EXIT_SETTINGS);
        assertThat(line.execute()).isEqualTo(CommandLine.ExitCode.USAGE);
    }
}
