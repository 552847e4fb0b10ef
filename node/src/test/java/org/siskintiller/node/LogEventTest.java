package org.siskintiller.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LogEventTest {

    /** Guards against two events with the same number. */
    @Test
    void numbersAreUnique() {
        Set<String> ids = new HashSet<>();
        for (LogEvent event : LogEvent.values()) {
            assertThat(ids.add(event.id())).isTrue();
        }
    }

    /** Guards against an outdated catalogue page. Run with -Dlog-events.write=true to write the page. */
    @Test
    void catalogueMatchesPage() throws IOException {
        Path page = Path.of("..", "docs", "log-events.md");
        if (Boolean.getBoolean("log-events.write")) {
            Files.writeString(page, LogEvent.catalogue());
        }
        assertThat(Files.readString(page)).isEqualTo(LogEvent.catalogue());
    }
}
