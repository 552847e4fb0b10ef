package org.siskintiller.integration;

import java.nio.file.Path;

/** One instance: a companion and its backend server. */
record TestInstance(
        String name,
        String failureDomain,
        String service,
        String http,
        String peer,
        ChildProcess companion,
        ChildProcess backend,
        String backendAddress,
        Path journal) {

    /** Sends SIGKILL to both processes, the companion first. */
    void kill() throws InterruptedException {
        companion.kill();
        backend.kill();
    }
}
