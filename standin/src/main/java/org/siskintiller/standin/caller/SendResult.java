package org.siskintiller.standin.caller;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import org.siskintiller.standin.http.HttpBodies;

/** Result of one send of a request. */
sealed interface SendResult {

    /** Complete response that belongs to the request. The execution is empty for an export. */
    record Ok(String execution, long version) implements SendResult {}

    /** Complete response that belongs to another request or has a wrong content. */
    record Mismatched(String reason) implements SendResult {}

    /** Response with an error status and the outcome that it states. */
    record Refused(int status, String outcome) implements SendResult {}

    /** No complete response. */
    record Failed(String reason) implements SendResult {}

    static SendResult of(CallerRequest request, HttpResponse<ResponseBody> response, Throwable failure) {
        if (failure != null) {
            return new Failed(reason(failure));
        }
        if (response.statusCode() >= 300) {
            return new Refused(response.statusCode(), outcome(response));
        }
        String digest = response.headers().firstValue("Repr-Digest").orElse("");
        if (!digest.isEmpty()) {
            return verifyExport(request, response, digest);
        }
        try {
            JsonNode json = HttpBodies.parse(response.body().start());
            String tag = json.path("tag").asText();
            String key = json.path("key").asText();
            if (!tag.equals(request.tag()) || !key.equals(request.keyOrEmpty())) {
                return new Mismatched("answer is of tag " + tag + " and key " + key);
            }
            return new Ok(json.path("execution").asText(), json.path("version").asLong());
        } catch (IOException | IllegalArgumentException e) {
            return new Mismatched("answer is no whole JSON object");
        }
    }

    private static SendResult verifyExport(CallerRequest request, HttpResponse<ResponseBody> response, String digest) {
        String tag = response.headers().firstValue("X-Caller-Tag").orElse("");
        if (!tag.isEmpty() && !tag.equals(request.tag())) {
            return new Mismatched("export is of tag " + tag);
        }
        if (!digest.equals(response.body().reprDigest())) {
            return new Mismatched("export of " + response.body().length() + " bytes does not match its digest");
        }
        return new Ok("", 0);
    }

    private static String outcome(HttpResponse<ResponseBody> response) {
        String header = response.headers().firstValue("Siskin-Outcome").orElse("");
        if (!header.isEmpty()) {
            return header;
        }
        try {
            return HttpBodies.parse(response.body().start()).path("outcome").asText("none");
        } catch (IOException | IllegalArgumentException e) {
            return "none";
        }
    }

    private static String reason(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof TimeoutException || cause instanceof HttpTimeoutException) {
            return "timeout";
        }
        return cause instanceof ConnectException ? "connect" : "broken";
    }
}
