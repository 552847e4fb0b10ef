package org.siskintiller.standin;

import org.siskintiller.core.model.Address;
import picocli.CommandLine.Option;

/** Command line options that the stand-ins share. */
public final class ServerOptions {
    private static final long DEFAULT_SEED = 1;

    @Option(
            names = "--host",
            defaultValue = "127.0.0.1",
            description = "IP number to listen on (default ${DEFAULT-VALUE})")
    private String host;

    @Option(
            names = "--port",
            defaultValue = "0",
            description = "port to listen on; 0 takes a free one (default ${DEFAULT-VALUE})")
    private int port;

    @Option(names = "--seed", description = "seed of the random choices (default 1)")
    private Long seed;

    public Address address() {
        return new Address(host, port);
    }

    public long seed() {
        return seed == null ? DEFAULT_SEED : seed;
    }

    /** Returns the seed of the command line, or null. */
    public Long seedIfGiven() {
        return seed;
    }

    /** Prints the bound address. Tests and scripts read it from the first line of standard output. */
    public static void printAddress(Address bound) {
        System.out.println("listening " + bound);
        System.out.flush();
    }
}
