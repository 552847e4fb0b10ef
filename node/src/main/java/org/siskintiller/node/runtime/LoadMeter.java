package org.siskintiller.node.runtime;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.model.PeerMessage.KeyLoad;
import org.siskintiller.core.model.PeerMessage.SlotLoad;
import org.siskintiller.core.model.SlotId;

/** Counts the requests that arrive at the gate by slot and by key. */
final class LoadMeter {
    /** Number of Misra-Gries counters: any key with more than 1/512 of the requests is kept. */
    private static final int MAX_COUNTED_KEYS = 512;

    private static final int MAX_REPORTED_KEYS = 16;

    private final Map<SlotId, Long> slots = new HashMap<>();
    private final Map<String, Long> keys = new HashMap<>();
    private final String service;
    private long total;
    private long sinceNs;

    LoadMeter(String service, long nowNs) {
        this.service = service;
        this.sinceNs = nowNs;
    }

    synchronized void count(SlotId slot, String key) {
        total++;
        if (slot != null) {
            slots.merge(slot, 1L, Long::sum);
        }
        if (key != null) {
            countKey(key);
        }
    }

    private void countKey(String key) {
        if (keys.containsKey(key) || keys.size() < MAX_COUNTED_KEYS) {
            keys.merge(key, 1L, Long::sum);
            return;
        }
        Iterator<Map.Entry<String, Long>> entries = keys.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Long> entry = entries.next();
            if (entry.getValue() == 1) {
                entries.remove();
            } else {
                entry.setValue(entry.getValue() - 1);
            }
        }
    }

    /** Returns the rates since the last call and resets the counters. */
    synchronized ControlEvent.LoadMeasured takeRates(long nowNs) {
        double seconds = Math.max(1e-3, (nowNs - sinceNs) / 1e9);
        List<SlotLoad> slotLoads = new ArrayList<>();
        slots.forEach((slot, count) -> slotLoads.add(new SlotLoad(slot, count / seconds)));
        List<KeyLoad> keyLoads = new ArrayList<>();
        keys.forEach((key, count) -> keyLoads.add(new KeyLoad(service, key, count / seconds)));
        keyLoads.sort(Comparator.comparingDouble(KeyLoad::requestsPerSecond).reversed());
        double load = total / seconds;
        slots.clear();
        keys.clear();
        total = 0;
        sinceNs = nowNs;
        return new ControlEvent.LoadMeasured(
                load, slotLoads, List.copyOf(keyLoads.subList(0, Math.min(MAX_REPORTED_KEYS, keyLoads.size()))));
    }
}
