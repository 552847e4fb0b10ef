package org.siskintiller.core.keyrange;

import java.util.Map;

/**
 * Request rates that a holder reports.
 *
 * @param total requests a second for all its keys
 * @param buckets requests a second of its busiest buckets; the rest of the total is spread over its other keys
 */
public record KeyLoad(double total, Map<Integer, Double> buckets) {
    public static final KeyLoad NONE = new KeyLoad(0, Map.of());

    public KeyLoad {
        buckets = Map.copyOf(buckets);
    }
}
