package org.siskintiller.router.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import org.siskintiller.node.http.HeaderRules;

/** Removes header fields that concern one connection only (RFC 9110, section 7.6.1). */
public final class HopHeaders {
    /** Fields that the sender of the next hop writes anew. */
    private static final Set<String> REWRITTEN = Set.of("content-length", "expect");

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
            boolean dropped = HeaderRules.isHopByHop(lower) || REWRITTEN.contains(lower);
            if (!dropped && !named.contains(lower) && !replaced.contains(lower)) {
                kept.add(new Header(field.getKey(), field.getValue()));
            }
        }
        return kept;
    }
}
