package org.siskintiller.router.control;

import java.util.HashMap;
import java.util.Map;

/** Last fences of the key tables that each companion has, by what was sent to it on its present connection. */
final class SentTables {
    private final Map<String, Connection> connections = new HashMap<>();

    /** Returns the last fence of the table of a service that was sent on the connection, 0 if none was. */
    long fence(String instance, long connectionNumber, String service) {
        Connection connection = connections.get(instance);
        boolean isPresent = connection != null && connection.number == connectionNumber;
        return isPresent ? connection.fences.getOrDefault(service, 0L) : 0;
    }

    void sent(String instance, long connectionNumber, String service, long fence) {
        Connection connection = connections.get(instance);
        if (connection == null || connection.number != connectionNumber) {
            connection = new Connection(connectionNumber);
            connections.put(instance, connection);
        }
        connection.fences.put(service, fence);
    }

    /** Forgets what was sent to a companion that has not received all of it. */
    void forget(String instance) {
        connections.remove(instance);
    }

    private static final class Connection {
        private final long number;
        private final Map<String, Long> fences = new HashMap<>();

        private Connection(long number) {
            this.number = number;
        }
    }
}
