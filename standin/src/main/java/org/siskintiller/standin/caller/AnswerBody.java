package org.siskintiller.standin.caller;

import java.io.ByteArrayOutputStream;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Body of an answer, of which only the start is kept.
 *
 * @param reprDigest digest of the whole body in the format of the Repr-Digest header
 */
record AnswerBody(byte[] start, long length, String reprDigest) {
    private static final int MAX_START_BYTES = 64 * 1024;

    static HttpResponse.BodySubscriber<AnswerBody> subscriber(HttpResponse.ResponseInfo info) {
        return new Subscriber();
    }

    private static final class Subscriber implements HttpResponse.BodySubscriber<AnswerBody> {
        private final CompletableFuture<AnswerBody> result = new CompletableFuture<>();
        private final ByteArrayOutputStream start = new ByteArrayOutputStream();
        private final MessageDigest digest = sha256();
        private long length;

        @Override
        public CompletionStage<AnswerBody> getBody() {
            return result;
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            for (ByteBuffer buffer : buffers) {
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                length += bytes.length;
                digest.update(bytes);
                start.write(bytes, 0, Math.min(bytes.length, MAX_START_BYTES - start.size()));
            }
        }

        @Override
        public void onError(Throwable cause) {
            result.completeExceptionally(cause);
        }

        @Override
        public void onComplete() {
            String value = "sha-256=:" + Base64.getEncoder().encodeToString(digest.digest()) + ":";
            result.complete(new AnswerBody(start.toByteArray(), length, value));
        }

        private static MessageDigest sha256() {
            try {
                return MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java platform has SHA-256", e);
            }
        }
    }
}
