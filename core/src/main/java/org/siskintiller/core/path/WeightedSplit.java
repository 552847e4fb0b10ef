package org.siskintiller.core.path;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits the requests of each route between its services by weight (smooth weighted round robin). The shares hold over
 * any short run of requests, also for a route with few of them.
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
                .noneMatch(each -> each.service().equals(service)));
        int total = 0;
        String best = null;
        for (Route.WeightedService each : services) {
            total += each.weight();
            int value = credit.merge(each.service(), each.weight(), Integer::sum);
            if (best == null || value > credit.get(best)) {
                best = each.service();
            }
        }
        credit.merge(best, -total, Integer::sum);
        return best;
    }
}
