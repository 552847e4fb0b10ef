package org.siskintiller.ctl;

import org.siskintiller.core.model.Address;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.logclient.LogClient;

/** Replayed control stream with the views of it that the commands need. */
final class ControlAccess {
    private final ControlStream stream;
    private final ConfigHistory history = new ConfigHistory();
    private final SessionNames names = new SessionNames();
    private final Submitter submitter;

    ControlAccess(Environment env, Address log) {
        LogClient client = env.logClients().apply(log);
        stream = new ControlStream(client);
        stream.addVisitor(history);
        stream.addVisitor(names);
        submitter = new Submitter(client, stream, env.operationIds(), env.time());
    }

    ControlStream stream() {
        return stream;
    }

    ClusterState state() {
        return stream.state();
    }

    ConfigHistory history() {
        return history;
    }

    SessionNames names() {
        return names;
    }

    Submitter submitter() {
        return submitter;
    }
}
