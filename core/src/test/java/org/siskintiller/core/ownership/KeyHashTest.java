package org.siskintiller.core.ownership;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class KeyHashTest {

    /** Guards against a changed function: companions of two releases would assign one key to two owners. */
    @Test
    void hashIsFixed() {
        assertThat(KeyHash.hash("lookup", "parcel-1")).isEqualTo(1396778580502397287L);
        assertThat(KeyHash.slotOf("lookup", "parcel-1", 256)).isEqualTo(103);
    }

    /** Guards against an uneven distribution of keys over the slots. */
    @Test
    void spreadsKeys() {
        int[] counts = new int[256];
        for (int i = 0; i < 256_000; i++) {
            counts[KeyHash.slotOf("lookup", "parcel-" + i, 256)]++;
        }
        for (int count : counts) {
            assertThat(count).isAtLeast(800);
            assertThat(count).isAtMost(1_200);
        }
    }
}
