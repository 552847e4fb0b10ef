package org.siskintiller.node.http;

import java.util.Locale;
import java.util.Set;

/** Rules for header fields that protect against request smuggling (RFC 9110, RFC 9112). */
public final class HeaderRules {
    /** Headers that apply to one connection. Forwarding them would change the message framing of the next hop. */
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

    /** Hop-by-hop headers that a caller may send: they describe only its connection to this companion. */
    private static final Set<String> ACCEPTED_HOP_BY_HOP = Set.of("connection", "keep-alive", "transfer-encoding");

    /** Headers that only companions may set. A caller that sends them could forge a fence or an outcome. */
    private static final Set<String> RESERVED =
            Set.of("siskin-request-id", "siskin-slot", "siskin-fence", "siskin-outcome");

    /** Headers that the ingress companion consumes and sets again on the request to the backend server. */
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

    /** Returns whether the header, given in lower case, is a hop-by-hop header (RFC 9110, section 7.6.1). */
    public static boolean isHopByHop(String lowerName) {
        return HOP_BY_HOP.contains(lowerName);
    }

    static boolean isRefusedHopByHop(String lowerName) {
        return HOP_BY_HOP.contains(lowerName) && !ACCEPTED_HOP_BY_HOP.contains(lowerName);
    }

    static boolean isReserved(String lowerName) {
        return RESERVED.contains(lowerName);
    }

    /** Returns whether the request header is forwarded to the backend server unchanged. */
    static boolean isForwarded(String lowerName) {
        return !HOP_BY_HOP.contains(lowerName) && !CONSUMED.contains(lowerName) && !RESERVED.contains(lowerName);
    }

    /** Returns whether the response header is forwarded to the caller. */
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

    /** Returns whether the value has no line breaks or other control characters except tabs. */
    static boolean isValidValue(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a Connection header has no options other than keep-alive and close. */
    static boolean hasOnlyPersistenceOptions(String connectionValue) {
        for (String option : connectionValue.split(",")) {
            String name = option.trim().toLowerCase(Locale.ROOT);
            if (!name.equals("keep-alive") && !name.equals("close")) {
                return false;
            }
        }
        return true;
    }
}
