package org.siskintiller.config;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.ServiceConfig;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a change that the diff omits, and against publishing a removed customer again or a new slot count,
 * which would give a key two owners.
 */
class ClusterConfigDiffTest {
    private static final ClusterConfig CURRENT = config(256, new CustomerConfig("growers", 2));

    @Test
    void listsChangedAddedAndRemovedValues() {
        ClusterConfig next = config(512, new CustomerConfig("advisers", 1));

        assertThat(ClusterConfigDiff.between(CURRENT, next))
                .containsExactly(
                        new ClusterConfigDiff.Change("service lookup", "slots", "256", "512"),
                        new ClusterConfigDiff.Change("customer advisers", "weight", "", "1"),
                        new ClusterConfigDiff.Change("customer growers", "weight", "2", ""))
                .inOrder();
    }

    @Test
    void rejectsChangedSlotCountAndRemovedCustomer() {
        ClusterConfig next = config(512, new CustomerConfig("growers", 2));
        List<ConfigProblem> problems = ClusterConfigChangeRules.check("f", CURRENT, next, Set.of("growers"));

        assertThat(problems.stream().map(ConfigProblem::section)).containsExactly("service lookup", "customer growers");
        assertThat(ClusterConfigChangeRules.check("f", CURRENT, CURRENT, Set.of()))
                .isEmpty();
    }

    private static ClusterConfig config(int slots, CustomerConfig customer) {
        ServiceConfig service = new ServiceConfig("lookup", true, true, true, slots, 2, 500, "urgent", 600_000);
        return new ClusterConfig(List.of(service), List.of(), List.of(customer), List.of(), "ordinary");
    }
}
