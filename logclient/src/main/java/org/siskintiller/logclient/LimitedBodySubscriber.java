package org.siskintiller.logclient;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Collects a response body and fails if the body is larger than the limit. */
final class LimitedBodySubscriber implements HttpResponse.BodySubscriber<byte[]> {
    private final int maxBytes;
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private Flow.Subscription subscription;

    LimitedBodySubscriber(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return result;
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (result.isDone()) {
                return;
            }
            if (buffer.remaining() > maxBytes - content.size()) {
                subscription.cancel();
                result.completeExceptionally(new IOException("answer is larger than " + maxBytes + " bytes"));
                return;
            }
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            content.writeBytes(bytes);
        }
    }

    @Override
    public void onError(Throwable cause) {
        result.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        result.complete(content.toByteArray());
    }
}
