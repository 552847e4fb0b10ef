package org.siskintiller.core.model;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FenceTest {

    /** Guards against a standby that takes over with a fence no greater than the previous owner's. */
    @Test
    void ordersByVersionThenCandidate() {
        assertThat(new Fence(2, 0)).isGreaterThan(new Fence(1, 2));
        assertThat(new Fence(1, 1)).isGreaterThan(new Fence(1, 0));
    }
}
