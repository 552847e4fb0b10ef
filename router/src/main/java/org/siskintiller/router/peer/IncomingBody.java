package org.siskintiller.router.peer;

import java.util.Objects;
import java.util.function.IntConsumer;

import com.google.protobuf.ByteString;
import org.siskintiller.core.path.BodyCredit;
import org.siskintiller.router.request.ForwardedRequest;

/** Body of a request that arrives in parts. Its credit is given at the rate of this machine's link. */
final class IncomingBody implements LinkPacer.PartSender {
    private final ForwardedRequest head;
    private final byte[] bytes;
    private final BodyCredit credit;
    private final LinkPacer pacer;
    private final IntConsumer allow;
    private int received;

    /**
     * Creates a body.
     *
     * @param head request without its body
     * @param allow gives credit to the companion that sends the body
     */
    IncomingBody(ForwardedRequest head, int length, long linkBytesPerSecond, LinkPacer pacer, IntConsumer allow) {
        this.head = Objects.requireNonNull(head, "head");
        this.bytes = new byte[length];
        this.credit = new BodyCredit(length, linkBytesPerSecond);
        this.pacer = pacer;
        this.allow = allow;
    }

    void begin() {
        pacer.add(this, credit.allowed());
    }

    @Override
    public void send(int credited) {
        allow.accept(credited);
    }

    /** Adds a part. Returns false if it exceeds the credit. */
    boolean receive(ByteString part) {
        int more = credit.received(part.size());
        if (more < 0) {
            return false;
        }
        part.copyTo(bytes, received);
        received += part.size();
        pacer.add(this, more);
        return true;
    }

    boolean isComplete() {
        return credit.isComplete();
    }

    /** Service that the request is for. */
    String service() {
        return head.service();
    }

    long deadlineNs() {
        return head.deadlineNs();
    }

    /** Returns the whole request. */
    ForwardedRequest request() {
        if (!isComplete()) {
            throw new IllegalStateException("the body of request " + head.requestId() + " is not complete");
        }
        return head.withBody(bytes);
    }

    /** Gives no further credit. */
    void drop() {
        pacer.remove(this);
    }
}
