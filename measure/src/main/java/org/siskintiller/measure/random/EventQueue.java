package org.siskintiller.measure.random;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Queue of events in virtual time. Events of the same time run in the order in which they were added. */
final class EventQueue {
    private static final Comparator<Event> ORDER =
            Comparator.comparingLong(Event::timeNs).thenComparingLong(Event::sequence);

    private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
    private long nowNs;
    private long sequence;

    private record Event(long timeNs, long sequence, Runnable action) {}

    long nowNs() {
        return nowNs;
    }

    void after(long delayNs, Runnable action) {
        events.add(new Event(nowNs + Math.max(0, delayNs), sequence++, action));
    }

    void runUntil(long endNs) {
        while (!events.isEmpty() && events.peek().timeNs() <= endNs) {
            Event event = events.poll();
            nowNs = event.timeNs();
            event.action().run();
        }
        nowNs = endNs;
    }
}
