package org.siskintiller.node.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.wire.ModelCodec;
import org.siskintiller.wire.proto.Proto;

/** One request and its response on a connection between companions. */
public final class PeerStream {
    private final PeerConnection connection;
    private final long id;
    private final RequestId requestId;
    private final BodyPipe incoming;
    private final SendWindow sendWindow = new SendWindow();
    private final CompletableFuture<Proto.ResponseHead> responseHead = new CompletableFuture<>();
    private final List<Runnable> failureActions = new ArrayList<>();
    private boolean incomingComplete;
    private boolean outgoingComplete;
    private boolean complete;
    private StreamFailedException failure;

    PeerStream(PeerConnection connection, long id, RequestId requestId) {
        this.connection = connection;
        this.id = id;
        this.requestId = requestId;
        this.incoming = new BodyPipe(this::returnCredit);
    }

    /** Returns the body that the other side sends. */
    public InputStream incoming() {
        return incoming;
    }

    /** Returns the head of the response, on the side that sent the request. Fails with StreamFailedException. */
    public CompletableFuture<Proto.ResponseHead> responseHead() {
        return responseHead;
    }

    /** Returns the body to the other side. Writing blocks while there is no credit or the connection is congested. */
    public OutputStream outgoing() {
        return new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                write(new byte[] {(byte) b}, 0, 1);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                int sent = 0;
                while (sent < length) {
                    connection.awaitWritable();
                    int count = sendWindow.acquire(Math.min(length - sent, PeerLimits.CHUNK_BYTES));
                    sendChunk(ByteString.copyFrom(bytes, offset + sent, count), false);
                    sent += count;
                }
            }
        };
    }

    /** Sends the head of the response. */
    public void respond(Proto.ResponseHead.Builder head) throws IOException {
        checkOpen();
        connection.send(Proto.PeerFrame.newBuilder()
                .setResponseHead(head.setStreamId(id).setRequestId(ModelCodec.toProto(requestId)))
                .build());
    }

    /** Marks the outgoing body as complete. */
    public void finish() throws IOException {
        checkOpen();
        sendChunk(ByteString.EMPTY, true);
        synchronized (this) {
            outgoingComplete = true;
        }
        closeIfComplete();
    }

    /** Fails the stream on both sides. Does nothing if both bodies are complete. */
    public void reset(Outcome outcome, String reason) {
        if (!fail(new StreamFailedException(Outcome.UNKNOWN, reason))) {
            return;
        }
        connection.send(Proto.PeerFrame.newBuilder()
                .setStreamReset(Proto.StreamReset.newBuilder()
                        .setStreamId(id)
                        .setReason(reason)
                        .setOutcome(OutcomeCodec.toProto(outcome)))
                .build());
    }

    /** Runs the action when the stream fails, or immediately if it has already failed. */
    public void onFailure(Runnable action) {
        synchronized (this) {
            if (failure == null) {
                failureActions.add(action);
                return;
            }
        }
        action.run();
    }

    private void sendChunk(ByteString content, boolean last) throws IOException {
        checkOpen();
        connection.send(Proto.PeerFrame.newBuilder()
                .setBodyChunk(Proto.BodyChunk.newBuilder()
                        .setStreamId(id)
                        .setContent(content)
                        .setLast(last))
                .build());
    }

    private void returnCredit(int bytes) {
        connection.send(Proto.PeerFrame.newBuilder()
                .setWindowUpdate(Proto.WindowUpdate.newBuilder().setStreamId(id).setCredit(bytes))
                .build());
    }

    private synchronized void checkOpen() throws IOException {
        if (failure != null) {
            throw failure;
        }
    }

    /** Accepts a chunk; returns false if it violates the protocol. */
    boolean receiveChunk(Proto.BodyChunk chunk) {
        if (!incoming.add(chunk.getContent(), chunk.getLast())) {
            return false;
        }
        if (chunk.getLast()) {
            synchronized (this) {
                incomingComplete = true;
            }
            closeIfComplete();
        }
        return true;
    }

    boolean receiveCredit(int credit) {
        return sendWindow.addCredit(credit);
    }

    /** Accepts a response head; returns false if it belongs to another request or is not the first. */
    boolean receiveHead(Proto.ResponseHead head) {
        if (!ModelCodec.fromProto(head.getRequestId()).equals(requestId) || responseHead.isDone()) {
            return false;
        }
        responseHead.complete(head);
        return true;
    }

    private void closeIfComplete() {
        synchronized (this) {
            if (!incomingComplete || !outgoingComplete) {
                return;
            }
            complete = true;
        }
        connection.remove(id);
    }

    /** Fails both directions; returns false if the stream has already failed or completed. */
    boolean fail(StreamFailedException cause) {
        List<Runnable> actions;
        synchronized (this) {
            if (failure != null || complete) {
                return false;
            }
            failure = cause;
            actions = List.copyOf(failureActions);
        }
        connection.remove(id);
        incoming.fail(cause);
        sendWindow.fail(cause);
        responseHead.completeExceptionally(cause);
        actions.forEach(Runnable::run);
        return true;
    }

    long id() {
        return id;
    }

    RequestId requestId() {
        return requestId;
    }
}
