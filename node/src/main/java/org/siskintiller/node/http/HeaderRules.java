package org.siskintiller.node.http;

import java.util.Locale;
import java.util.Set;

/** Rules for header fields that protect against request smuggling (RFC 9110, RFC 9112). */
public final class HeaderRules {
    /** Headers of one connection. Forwarding them would change how the next hop frames messages. */
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
            "http2-settings");

    /** Hop-by-hop headers that a caller may send: they describe only its own connection. */
    private static final Set<String> TOLERATED = Set.of("connection", "keep-alive", "transfer-encoding");

    /** Headers that companions set themselves. A caller that sends them could forge a fence or an outcome. */
    private static final Set<String> RESERVED =
            Set.of("siskin-request-id", "siskin-slot", "siskin-fence", "siskin-outcome");

    /** Headers that are read by the ingress companion and written anew towards the backend server. */
    private static final Set<String> CONSUMED = Set.of(
            "host",
            "content-length",
            "expect",
            "siskin-key",
            "siskin-customer",
            "siskin-rank",
            "siskin-deadline-ms",
            "idempotency-key");

    private HeaderRules() {}

    /** Whether the header, named in lower case, concerns one connection only (RFC 9110, section 7.6.1). */
    public static boolean isHopByHop(String lowerName) {
        return HOP_BY_HOP.contains(lowerName);
    }

    static boolean isRefusedHopByHop(String lowerName) {
        return HOP_BY_HOP.contains(lowerName) && !TOLERATED.contains(lowerName);
    }

    static boolean isReserved(String lowerName) {
        return RESERVED.contains(lowerName);
    }

    /** Returns whether the header goes on to the backend server unchanged. */
    static boolean isForwarded(String lowerName) {
        return !HOP_BY_HOP.contains(lowerName) && !CONSUMED.contains(lowerName) && !RESERVED.contains(lowerName);
    }

    /** Returns whether the header of a response goes on to the caller. */
    static boolean isForwardedToCaller(String name) {
        String lowerName = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lowerName)
                && !lowerName.equals("content-length")
                && !lowerName.equals("date")
                && !lowerName.startsWith(":");
    }

    static boolean isToken(String name) {
        if (name.isEmpty()) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            boolean letterOrDigit = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!letterOrDigit && "!#$%&'*+-.^_`|~".indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the value is free of line breaks and other control characters. */
    static boolean isCleanValue(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }

    static boolean isKeepAliveOption(String connectionValue) {
        for (String option : connectionValue.split(",")) {
            String name = option.trim().toLowerCase(Locale.ROOT);
            if (!name.equals("keep-alive") && !name.equals("close")) {
                return false;
            }
        }
        return true;
    }
}
