package org.siskintiller.ctl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;

/** Resolves incarnations to session names of instance and incarnation, also after the session has ended. */
final class SessionNames implements RecordVisitor {
    private final Map<Incarnation, Session> seenSessions = new HashMap<>();

    @Override
    public void visit(ReplayedRecord replayed) {
        LogRecord record = replayed.entry().record();
        if (record instanceof LogRecord.SessionOpened opened) {
            replacedSessions(replayed.before(), opened.session())
                    .forEach(session -> seenSessions.put(session.incarnation(), session));
            seenSessions.put(opened.session().incarnation(), opened.session());
        } else if (record instanceof LogRecord.SessionEnded end) {
            addSeen(replayed.before(), end.incarnation());
        } else if (record instanceof LogRecord.SessionClosed closed) {
            addSeen(replayed.before(), closed.incarnation());
        }
    }

    /** Returns the open sessions that end when this one opens, since it has their peer address. */
    static List<Session> replacedSessions(ClusterState before, Session opened) {
        List<Session> sessions = new ArrayList<>();
        before.forEachOpenSession(session -> {
            if (session.peerAddress().equals(opened.peerAddress())
                    && !session.incarnation().equals(opened.incarnation())) {
                sessions.add(session);
            }
        });
        return sessions;
    }

    /** Returns the open or ended session, or empty if no replayed record contains it. */
    Optional<Session> session(ClusterState state, Incarnation incarnation) {
        return state.session(incarnation).or(() -> Optional.ofNullable(seenSessions.get(incarnation)));
    }

    String name(ClusterState state, Incarnation incarnation) {
        if (incarnation == null) {
            return "-";
        }
        return session(state, incarnation)
                .map(session -> session.instance() + "/" + incarnation)
                .orElse(incarnation.toString());
    }

    private void addSeen(ClusterState before, Incarnation incarnation) {
        before.session(incarnation).ifPresent(session -> seenSessions.put(incarnation, session));
    }
}
