package org.siskintiller.core;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against input, output, clocks, threads and hidden randomness in the core. */
class PurityTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Pattern FORBIDDEN =
            Pattern.compile("\\bjava\\.(io|net|nio)\\.(?!charset)|\\bjava\\.util\\.concurrent\\.(?!atomic)"
                    + "|\\bjavax\\.|org\\.slf4j|System\\.(nanoTime|currentTimeMillis|getenv|getProperty|out|err)"
                    + "|\\bThread\\b|\\bnew (Random|SecureRandom|SplittableRandom)\\(\\)|Math\\.random|UUID\\.randomUUID"
                    + "|Instant\\.now|org\\.siskintiller\\.(wire|config|logclient|node|ctl|standin|measure)");

    @Test
    void coreHasNoInputOutputClockThreadOrHiddenRandomness() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> paths = Files.walk(SOURCES)) {
            for (Path path : paths.filter(p -> p.toString().endsWith(".java")).toList()) {
                for (String line : Files.readAllLines(path)) {
                    if (FORBIDDEN.matcher(line).find()) {
                        found.add(path.getFileName() + ": " + line.trim());
                    }
                }
            }
        }
        assertThat(found).isEmpty();
    }
}
