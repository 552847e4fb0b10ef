package org.siskintiller.node.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.replay.ClusterState;

/** Chooses the companion that gets a request. */
final class Targets {
    private final Suspects suspects;
    private final Map<Incarnation, AtomicInteger> inFlight = new ConcurrentHashMap<>();

    Targets(Suspects suspects) {
        this.suspects = suspects;
    }

    /**
     * Returns the next companion to try.
     *
     * @param slot slot of the request, or null if any backend server of the service may run it
     * @param avoid companions that failed this request just now
     */
    Optional<Session> choose(ClusterState state, String service, SlotId slot, Set<Incarnation> avoid) {
        List<Session> candidates = slot == null ? anyOf(state, service) : candidatesOf(state, slot);
        List<Session> usable = new ArrayList<>();
        for (Session session : candidates) {
            if (!avoid.contains(session.incarnation())) {
                usable.add(session);
            }
        }
        if (usable.isEmpty()) {
            usable = candidates;
        }
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(slot == null ? lessLoaded(usable) : firstUnsuspected(usable));
    }

    void started(Incarnation incarnation) {
        inFlight.computeIfAbsent(incarnation, ignored -> new AtomicInteger()).incrementAndGet();
    }

    void ended(Incarnation incarnation) {
        inFlight.computeIfPresent(incarnation, (key, count) -> count.decrementAndGet() <= 0 ? null : count);
    }

    private static List<Session> candidatesOf(ClusterState state, SlotId slot) {
        List<Session> sessions = new ArrayList<>();
        for (Incarnation incarnation :
                state.assignment(slot.service(), slot.slot()).candidates()) {
            state.session(incarnation).ifPresent(sessions::add);
        }
        return sessions;
    }

    private List<Session> anyOf(ClusterState state, String service) {
        List<Session> healthy = new ArrayList<>();
        List<Session> all = new ArrayList<>();
        long nowNs = Clock.nowNs();
        for (Incarnation incarnation : state.sessionsOf(service)) {
            state.session(incarnation).ifPresent(session -> {
                all.add(session);
                if (!session.draining() && !suspects.contains(incarnation, nowNs)) {
                    healthy.add(session);
                }
            });
        }
        return healthy.isEmpty() ? all : healthy;
    }

    private Session firstUnsuspected(List<Session> sessions) {
        long nowNs = Clock.nowNs();
        for (Session session : sessions) {
            if (!suspects.contains(session.incarnation(), nowNs)) {
                return session;
            }
        }
        return sessions.get(0);
    }

    private Session lessLoaded(List<Session> sessions) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Session first = sessions.get(random.nextInt(sessions.size()));
        Session second = sessions.get(random.nextInt(sessions.size()));
        return count(second) < count(first) ? second : first;
    }

    private int count(Session session) {
        AtomicInteger count = inFlight.get(session.incarnation());
        return count == null ? 0 : count.get();
    }
}
