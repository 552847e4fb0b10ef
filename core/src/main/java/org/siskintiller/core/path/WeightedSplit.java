package org.siskintiller.core.path;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits the requests of each route between its services by weight (smooth weighted round robin). The shares hold over
 * short sequences of requests, so that they also hold for a route with few requests.
 */
public final class WeightedSplit {
    private final Map<String, Map<String, Integer>> credits = new HashMap<>();

    public String choose(Route route) {
        List<Route.WeightedService> services = route.services();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        Map<String, Integer> credit = credits.computeIfAbsent(route.name(), name -> new HashMap<>());
        credit.keySet().removeIf(service -> services.stream()
                .noneMatch(weighted -> weighted.service().equals(service)));
        int total = 0;
        String best = null;
        for (Route.WeightedService weighted : services) {
            total += weighted.weight();
            int value = credit.merge(weighted.service(), weighted.weight(), Integer::sum);
            if (best == null || value > credit.get(best)) {
                best = weighted.service();
            }
        }
        credit.merge(best, -total, Integer::sum);
        return best;
    }
}
