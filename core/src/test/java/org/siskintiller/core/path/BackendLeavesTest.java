package org.siskintiller.core.path;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendLeavesTest {
    /** Guards against a server that starts again under its name and counts as left. */
    @Test
    void coversRunsUntilTheOneThatLeft() {
        BackendLeaves leaves = BackendLeaves.NONE.with("i-1", 100);

        assertThat(leaves.covers("i-1", 100)).isTrue();
        assertThat(leaves.covers("i-1", 99)).isTrue();
        assertThat(leaves.covers("i-1", 101)).isFalse();
        assertThat(leaves.covers("i-2", 100)).isFalse();
    }

    /** Guards against a copy that arrives late or twice and undoes a newer leave. */
    @Test
    void mergesInAnyOrder() {
        BackendLeaves older = BackendLeaves.NONE.with("i-1", 100);
        BackendLeaves newer = older.with("i-1", 200).with("i-2", 50);

        assertThat(older.merge(newer)).isEqualTo(newer);
        assertThat(newer.merge(older).merge(older)).isEqualTo(newer);
        assertThat(newer.with("i-1", 150)).isEqualTo(newer);
    }

    /** Guards against a record that grows with each server that ever ran beside the instance. */
    @Test
    void keepsTheLatestNames() {
        Map<String, Long> many = new HashMap<>();
        for (long run = 1; run <= 20; run++) {
            many.put("i-" + run, run);
        }
        BackendLeaves leaves = new BackendLeaves(many);

        assertThat(leaves.lastRuns()).hasSize(8);
        assertThat(leaves.covers("i-20", 20)).isTrue();
        assertThat(leaves.covers("i-1", 1)).isFalse();
    }
}
