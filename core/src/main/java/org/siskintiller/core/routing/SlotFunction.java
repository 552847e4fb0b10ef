package org.siskintiller.core.routing;

/** Maps a key to one of a service's slots. */
@FunctionalInterface
public interface SlotFunction {

    int slotOf(String service, String key, int slots);
}
