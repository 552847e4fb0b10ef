package org.siskintiller.node.http;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.RequestHead;

import static com.google.common.truth.Truth.assertThat;

class RequestParserTest {
    private final RequestParser parser =
            new RequestParser(new Limits(4096, 1_000_000, 10_000, 10, 1_000), () -> new RequestId(1, 2));

    private ParseResult parse(String target, String... namesAndValues) {
        List<Header> headers = new ArrayList<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            headers.add(new Header(namesAndValues[i], namesAndValues[i + 1]));
        }
        return parser.parse("GET", target, headers);
    }

    private int status(ParseResult parsed) {
        assertThat(parsed).isInstanceOf(ParseResult.Rejected.class);
        return ((ParseResult.Rejected) parsed).problem().status();
    }

    /** Guards against request smuggling: a body length that companion and backend server interpret differently. */
    @Nested
    class Framing {

        @ParameterizedTest
        @CsvSource({
            "Content-Length,5,Content-Length,6",
            "Content-Length,5,Content-Length,5",
            "Content-Length,5,Transfer-Encoding,chunked",
            "Transfer-Encoding,chunked,Transfer-Encoding,identity",
            "Transfer-Encoding,gzip,X-Other,1",
            "Content-Length,+5,X-Other,1",
            "Content-Length,-1,X-Other,1",
            "Content-Length,0x5,X-Other,1"
        })
        void refusesConflictingLengths(String name1, String value1, String name2, String value2) {
            assertThat(status(parse("/s/x", name1, value1, name2, value2))).isEqualTo(400);
        }

        @Test
        void refusesBodyAboveLimit() {
            assertThat(status(parse("/s/x", "Content-Length", "1000001"))).isEqualTo(413);
        }
    }

    /** Guards against header injection: a value that reaches the backend server as another header. */
    @Nested
    class Headers {

        @ParameterizedTest
        @CsvSource({"Upgrade,h2c", "TE,trailers", "Trailer,X", "Proxy-Connection,close", "Connection,siskin-customer"})
        void refusesHopByHop(String name, String value) {
            assertThat(status(parse("/s/x", name, value))).isEqualTo(400);
        }

        @Test
        void refusesLineBreaks() {
            assertThat(status(parse("/s/x", "X-A", "1\r\nSiskin-Fence: 9.0"))).isEqualTo(400);
            assertThat(status(parse("/s/x", "X-A", "1\nb"))).isEqualTo(400);
            assertThat(status(parse("/s/x", "X A", "1"))).isEqualTo(400);
        }

        @Test
        void refusesReservedAndRepeatedHeaders() {
            assertThat(status(parse("/s/x", "Siskin-Fence", "9.0"))).isEqualTo(400);
            assertThat(status(parse("/s/x", "Siskin-Key", "a", "siskin-key", "b")))
                    .isEqualTo(400);
        }

        @Test
        void limitsSize() {
            assertThat(status(parse("/s/x", "X-A", "a".repeat(5000)))).isEqualTo(431);
        }
    }

    /** Guards against a head whose service, path, key or deadline differs from what the caller sent. */
    @Test
    void readsHead() {
        RequestHead head = ((ParseResult.Ok) parse(
                        "/parcel-lookup/p/7?x=1",
                        "Host",
                        "h",
                        "Siskin-Key",
                        "k",
                        "Siskin-Deadline-Ms",
                        "250",
                        "Accept",
                        "*/*",
                        "Connection",
                        "keep-alive"))
                .head();
        assertThat(head.service()).isEqualTo("parcel-lookup");
        assertThat(head.path()).isEqualTo("/p/7?x=1");
        assertThat(head.key()).isEqualTo("k");
        assertThat(head.deadlineMs()).isEqualTo(250);
        assertThat(head.headers()).containsExactly(new Header("Accept", "*/*"));
    }

    @Test
    void refusesPathWithoutService() {
        assertThat(status(parse("/"))).isEqualTo(404);
        assertThat(status(parse("/../x"))).isEqualTo(404);
    }
}
