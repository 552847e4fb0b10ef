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

/** Names sessions by instance and incarnation, also after they have ended. */
final class SessionNames implements RecordVisitor {
    private final Map<Incarnation, Session> ended = new HashMap<>();

    @Override
    public void visit(ReplayedRecord replayed) {
        LogRecord record = replayed.entry().record();
        if (record instanceof LogRecord.SessionOpened opened) {
            replaced(replayed.before(), opened.session()).forEach(session -> ended.put(session.incarnation(), session));
            ended.put(opened.session().incarnation(), opened.session());
        } else if (record instanceof LogRecord.SessionEnded end) {
            keep(replayed.before(), end.incarnation());
        } else if (record instanceof LogRecord.SessionClosed closed) {
            keep(replayed.before(), closed.incarnation());
        }
    }

    /** Open sessions that end when this one opens, since it has their peer address. */
    static List<Session> replaced(ClusterState before, Session opened) {
        List<Session> sessions = new ArrayList<>();
        before.forEachOpenSession(session -> {
            if (session.peerAddress().equals(opened.peerAddress())
                    && !session.incarnation().equals(opened.incarnation())) {
                sessions.add(session);
            }
        });
        return sessions;
    }

    /** Returns the session, open or ended, unless it is known by its incarnation only. */
    Optional<Session> session(ClusterState state, Incarnation incarnation) {
        return state.session(incarnation).or(() -> Optional.ofNullable(ended.get(incarnation)));
    }

    String name(ClusterState state, Incarnation incarnation) {
        if (incarnation == null) {
            return "-";
        }
        return session(state, incarnation)
                .map(session -> session.instance() + "/" + incarnation)
                .orElse(incarnation.toString());
    }

    private void keep(ClusterState before, Incarnation incarnation) {
        before.session(incarnation).ifPresent(session -> ended.put(incarnation, session));
    }
}
