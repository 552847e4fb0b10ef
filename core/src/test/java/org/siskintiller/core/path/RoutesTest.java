package org.siskintiller.core.path;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RoutesTest {
    private static final Route.WeightedService ONLY = new Route.WeightedService("service", 1);

    @Nested
    class Finding {
        private final RouteTable table = new RouteTable(
                1,
                Map.of("host.example", List.of(route("short", "/a/", ONLY), route("long", "/a/b/", ONLY))),
                Map.of(),
                CallerLimits.INITIAL);

        /** Guards against a request that goes to the service of a less specific route. */
        @Test
        void prefersTheLongestPrefix() {
            assertThat(table.find("host.example", "/a/b/c").orElseThrow().name())
                    .isEqualTo("long");
            assertThat(table.find("host.example", "/a/c").orElseThrow().name()).isEqualTo("short");
        }

        @Test
        void ignoresCaseAndPortOfTheHost() {
            assertThat(table.find("Host.Example:8080", "/a/c")).isPresent();
        }

        @Test
        void findsNothingOnAnotherHost() {
            assertThat(table.find("other.example", "/a/c")).isEmpty();
            assertThat(table.find("host.example", "/b/")).isEmpty();
        }
    }

    @Nested
    class Splitting {
        /** Guards against shares that only hold over many requests: 20 requests must be split exactly. */
        @Test
        void keepsTheWeightsOverFewRequests() {
            Route route = route("split", "/", new Route.WeightedService("a", 90), new Route.WeightedService("b", 10));
            WeightedSplit split = new WeightedSplit();
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                counts.merge(split.choose(route), 1, Integer::sum);
            }

            assertThat(counts).containsExactly("a", 18, "b", 2);
        }

        /** Guards against requests to a service of weight 0, and against a division by such a weight. */
        @Test
        void sendsNothingToAWeightOfZero() {
            Route route = route("split", "/", new Route.WeightedService("a", 1), new Route.WeightedService("b", 0));
            WeightedSplit split = new WeightedSplit();
            for (int i = 0; i < 5; i++) {
                assertThat(split.choose(route)).isEqualTo("a");
            }
        }
    }

    private static Route route(String name, String prefix, Route.WeightedService... services) {
        return new Route(name, prefix, RequestKind.IDEMPOTENT, 1_000, 500, 0, List.of(services), 2);
    }
}
