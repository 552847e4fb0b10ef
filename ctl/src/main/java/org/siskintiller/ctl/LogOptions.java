package org.siskintiller.ctl;

import org.siskintiller.core.model.Address;
import picocli.CommandLine.Option;

/** Option of the commands that read the log. */
final class LogOptions {
    @Option(
            names = "--log",
            paramLabel = "HOST:PORT",
            required = true,
            defaultValue = "${env:SISKIN_LOG}",
            description = "Address of the log service. Default: environment variable SISKIN_LOG.")
    private Address address;

    Address address() {
        return address;
    }
}
