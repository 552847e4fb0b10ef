package org.siskintiller.core.path;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ids of the requests that one connection has carried, until their deadlines, after which a request is not sent again.
 *
 * <p>Load pattern: backend servers reject half of their arrivals, so that requests are sent again with their ids, and one of
 * them writes some of its responses twice. On a connection that carries an id only once, the second copy of a response
 * cannot be taken for the response to the next attempt.
 */
public final class CarriedIds {
    private final Map<String, Long> deadlinesNs = new LinkedHashMap<>();

    /** Adds the id of a request that is sent now. */
    public void add(String id, long deadlineNs, long nowNs) {
        Iterator<Long> oldest = deadlinesNs.values().iterator();
        while (oldest.hasNext() && oldest.next() < nowNs) {
            oldest.remove();
        }
        deadlinesNs.put(id, deadlineNs);
    }

    public boolean contains(String id) {
        return deadlinesNs.containsKey(id);
    }

    /** Number of ids that are remembered. */
    int size() {
        return deadlinesNs.size();
    }
}
