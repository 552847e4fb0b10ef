package org.siskintiller.router.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import org.siskintiller.core.path.RequestMemory;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.RefusalReason;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.request.SentRequest;

/** Requests that were sent to another companion and have not ended. */
final class PeerStreams {
    private final LinkPacer pacer;
    private final Map<Integer, Stream> streams = new HashMap<>();
    private int lastId;

    PeerStreams(LinkPacer pacer) {
        this.pacer = pacer;
    }

    /** Adds a request that is sent on the given connection. */
    Stream begin(ForwardedRequest request, ResponseListener listener, Channel via) {
        Stream stream = new Stream(++lastId, request, listener, via);
        streams.put(stream.id, stream);
        return stream;
    }

    /** Refuses a request for which there is no connection. */
    Stream refuse(ForwardedRequest request, ResponseListener listener) {
        listener.refused(new Refusal(RefusalReason.UNREACHABLE, 0, false));
        return new Stream(0, request, listener, null);
    }

    int size() {
        return streams.size();
    }

    Collection<Stream> all() {
        return streams.values();
    }

    /** Returns the stream with the id, or null if it has ended or was not sent on the connection. */
    Stream get(int id, Channel via) {
        Stream stream = streams.get(id);
        return stream != null && stream.via == via ? stream : null;
    }

    /** Removes a stream and drops what was not sent of its body. Returns null as {@link #get} does. */
    Stream remove(int id, Channel via) {
        return get(id, via) == null ? null : remove(id);
    }

    private Stream remove(int id) {
        Stream stream = streams.remove(id);
        if (stream != null && stream.body != null) {
            stream.body.drop();
        }
        return stream;
    }

    List<Stream> remove(Predicate<Stream> condition) {
        List<Stream> removed = streams.values().stream().filter(condition).toList();
        removed.forEach(stream -> remove(stream.id));
        return removed;
    }

    /** Ends streams. A request whose body was not sent whole has surely not run. */
    static void fail(List<Stream> ended, String cause) {
        for (Stream stream : ended) {
            if (stream.mayHaveRun()) {
                stream.listener.failed(new SendFailure(cause, false));
            } else {
                stream.listener.refused(new Refusal(RefusalReason.UNREACHABLE, 0, false));
            }
        }
    }

    /** One request. */
    final class Stream implements SentRequest {
        private final int id;
        private final boolean repeatable;
        private final long deadlineNs;
        private final ResponseListener listener;
        /** Connection on which the request was sent. */
        private final Channel via;
        /** Body that follows the request; null if the frame of the request has all of it. */
        private final OutgoingBody body;
        /** Bytes of the response that were received and for which no credit was given yet. */
        private int untakenBytes;

        private Stream(int id, ForwardedRequest request, ResponseListener listener, Channel via) {
            this.id = id;
            this.repeatable = request.kind().repeatable();
            this.deadlineNs = request.deadlineNs();
            this.listener = listener;
            this.via = via;
            byte[] bytes = request.body();
            this.body = bytes.length > RequestMemory.SMALL_BODY_BYTES ? new OutgoingBody(id, bytes, via, pacer) : null;
        }

        int id() {
            return id;
        }

        Channel via() {
            return via;
        }

        long deadlineNs() {
            return deadlineNs;
        }

        ResponseListener listener() {
            return listener;
        }

        @Override
        public boolean mayHaveRun() {
            return body == null || body.isSent();
        }

        /** Whether the request may be sent elsewhere when its connection is lost. */
        boolean mayMove() {
            return repeatable || !mayHaveRun();
        }

        /** Allows more bytes of the body of the request to be sent. */
        void creditBody(int bytes) {
            if (body != null) {
                body.credit(bytes);
            }
        }

        /** Counts bytes of the response. Returns those for which no credit was given yet. */
        int received(int bytes) {
            untakenBytes += bytes;
            return untakenBytes;
        }

        @Override
        public void cancel() {
            if (remove(id) != null) {
                via.writeAndFlush(Frames.cancel(id));
            }
        }

        @Override
        public void credit(int bytes) {
            if (streams.containsKey(id) && bytes > 0) {
                untakenBytes -= bytes;
                via.writeAndFlush(Frames.credit(id, bytes));
            }
        }
    }
}
