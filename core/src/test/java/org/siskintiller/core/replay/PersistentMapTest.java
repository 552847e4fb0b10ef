package org.siskintiller.core.replay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

class PersistentMapTest {

    /** Guards against lost or stale entries when hash codes collide and when entries are removed. */
    @Property(tries = 200)
    void behavesLikeHashMap(@ForAll List<@IntRange(min = 0, max = 200) Integer> changes) {
        Map<Key, Integer> expected = new HashMap<>();
        PersistentMap<Key, Integer> map = PersistentMap.empty();
        for (int change : changes) {
            Key key = new Key(change / 2);
            if (change % 2 == 0) {
                expected.put(key, change);
                map = map.with(key, change);
            } else {
                expected.remove(key);
                map = map.without(key);
            }
        }
        Map<Key, Integer> entries = new HashMap<>();
        map.forEach(entries::put);
        assertThat(entries).isEqualTo(expected);
        assertThat(map.size()).isEqualTo(expected.size());
    }

    /** Key with few distinct hash codes. */
    private record Key(int id) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Key && ((Key) other).id == id;
        }

        @Override
        public int hashCode() {
            return id / 3;
        }
    }
}
