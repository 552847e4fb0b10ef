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
 * Body of a response, of which only the first bytes are stored.
 *
 * @param reprDigest digest of the whole body in the format of the Repr-Digest header
 */
record ResponseBody(byte[] start, long length, String reprDigest) {
    private static final int MAX_START_BYTES = 64 * 1024;

    static HttpResponse.BodySubscriber<ResponseBody> subscriber(HttpResponse.ResponseInfo info) {
        return new Subscriber();
    }

    private static final class Subscriber implements HttpResponse.BodySubscriber<ResponseBody> {
        private final CompletableFuture<ResponseBody> result = new CompletableFuture<>();
        private final ByteArrayOutputStream start = new ByteArrayOutputStream();
        private final MessageDigest digest = sha256();
        private long length;

        @Override
        public CompletionStage<ResponseBody> getBody() {
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
            result.complete(new ResponseBody(start.toByteArray(), length, value));
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
