package org.siskintiller.ctl;

import java.io.PrintWriter;
import java.security.SecureRandom;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.Supplier;

import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.logclient.HttpLogClient;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.LogClientSettings;

/** Dependencies of the commands, which tests replace. */
record Environment(
        PrintWriter out,
        PrintWriter err,
        Function<Address, LogClient> logClients,
        CompanionClient companionClient,
        Supplier<OperationId> operationIds,
        TimeSource time) {

    Environment {
        Objects.requireNonNull(out, "out");
        Objects.requireNonNull(err, "err");
        Objects.requireNonNull(logClients, "logClients");
        Objects.requireNonNull(companionClient, "companionClient");
        Objects.requireNonNull(operationIds, "operationIds");
        Objects.requireNonNull(time, "time");
    }

    static Environment system() {
        SecureRandom random = new SecureRandom();
        return new Environment(
                new PrintWriter(System.out, true),
                new PrintWriter(System.err, true),
                address -> new HttpLogClient(LogClientSettings.defaults(address)),
                new HttpCompanionClient(),
                () -> new OperationId(random.nextLong(), random.nextLong()),
                TimeSource.system());
    }
}
