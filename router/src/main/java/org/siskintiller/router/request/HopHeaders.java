package org.siskintiller.router.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;

/** Removes header fields that concern one connection only (RFC 9110, section 7.6.1). */
public final class HopHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings",
            "content-length",
            "expect");

    private HopHeaders() {}

    /** Returns the fields to forward, without hop-by-hop fields and the given ones in lower case. */
    public static List<Header> forwarded(HttpHeaders headers, Set<String> replaced) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll("connection")) {
            for (String token : value.split(",")) {
                named.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        List<Header> kept = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> field : headers) {
            String lower = field.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(lower) && !named.contains(lower) && !replaced.contains(lower)) {
                kept.add(new Header(field.getKey(), field.getValue()));
            }
        }
        return kept;
    }
}
