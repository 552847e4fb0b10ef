package org.siskintiller.core.path;

import java.util.HashMap;
import java.util.Map;

import org.siskintiller.core.model.Incarnation;

/**
 * Decides which process of another instance is in force, from the connections on which processes introduced themselves.
 *
 * <p>Load pattern: companions restart in series while links delay and reorder their connections, so that messages of an ended
 * process arrive beside those of its successor. A process introduces itself only after its connection was accepted, so one on
 * a connection that was accepted later was alive later.
 */
public final class PeerProcesses {
    private final Map<String, InForce> inForce = new HashMap<>();

    /**
     * Records that a process has introduced itself.
     *
     * @param connection number of its connection, in the order in which connections were accepted
     */
    public Standing introduced(String instance, Incarnation process, long connection) {
        InForce known = inForce.get(instance);
        if (known == null || known.process.equals(process)) {
            long newest = known == null ? connection : Math.max(known.connection, connection);
            inForce.put(instance, new InForce(process, newest));
            return Standing.IN_FORCE;
        }
        if (connection < known.connection) {
            return Standing.ENDED;
        }
        inForce.put(instance, new InForce(process, connection));
        return Standing.SUCCESSOR;
    }

    /** What the introduction of a process shows. */
    public enum Standing {
        /** It is the process that is known, or the first one of its instance. */
        IN_FORCE,
        /** It takes the place of an earlier process of its instance, which has ended. */
        SUCCESSOR,
        /** It has ended, since a later process of its instance is known. */
        ENDED
    }

    /**
     * Process in force.
     *
     * @param connection newest connection on which it introduced itself
     */
    private record InForce(Incarnation process, long connection) {}
}
