package org.siskintiller.ctl;

import picocli.CommandLine.Option;

/** Output option that all commands have. */
final class OutputOptions {
    @Option(names = "--json", description = "Print one JSON document in place of text.")
    private boolean json;

    boolean json() {
        return json;
    }
}
