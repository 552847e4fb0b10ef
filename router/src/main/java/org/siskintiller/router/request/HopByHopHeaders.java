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
public final class HopByHopHeaders {
    /** Fields that are set again for the next hop. */
    private static final Set<String> REWRITTEN = Set.of("content-length", "expect");

    private HopByHopHeaders() {}

    /** Returns all fields but the hop-by-hop ones and the replaced ones, whose names are given in lower case. */
    public static List<Header> endToEnd(HttpHeaders headers, Set<String> replaced) {
        Set<String> connectionOptions = new HashSet<>();
        for (String value : headers.getAll("connection")) {
            for (String token : value.split(",")) {
                connectionOptions.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        List<Header> forwarded = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> field : headers) {
            String lowerName = field.getKey().toLowerCase(Locale.ROOT);
            boolean dropped = HeaderRules.isHopByHop(lowerName) || REWRITTEN.contains(lowerName);
            if (!dropped && !connectionOptions.contains(lowerName) && !replaced.contains(lowerName)) {
                forwarded.add(new Header(field.getKey(), field.getValue()));
            }
        }
        return forwarded;
    }
}
