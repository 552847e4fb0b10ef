package org.siskintiller.standin.backend;

import com.sun.net.httpserver.HttpExchange;
import org.siskintiller.core.model.Fence;
import org.siskintiller.standin.http.HttpBodies;

/**
 * Request as the companion sends it. Absent headers are empty strings.
 *
 * @param slot -1 for a request without slot
 * @param fence null for a request without fence
 * @param deadlineNs monotonic time from which the request must not commit
 * @param requestedFault crash or freeze, or an empty string
 */
record BackendRequest(
        String path,
        String requestId,
        String idempotencyKey,
        String key,
        String tag,
        String customer,
        String rank,
        int slot,
        Fence fence,
        long deadlineNs,
        String requestedFault) {
    static final String CRASH = "crash";
    static final String FREEZE = "freeze";
    private static final long NO_DEADLINE_MS = 3_600_000;
    private static final long NS_PER_MS = 1_000_000;

    static BackendRequest of(HttpExchange exchange, long nowNs) {
        String key = HttpBodies.header(exchange, "Siskin-Key");
        String deadline = HttpBodies.header(exchange, "Siskin-Deadline-Ms");
        String slot = HttpBodies.header(exchange, "Siskin-Slot");
        try {
            long deadlineMs = deadline.isEmpty() ? NO_DEADLINE_MS : Long.parseLong(deadline);
            return new BackendRequest(
                    exchange.getRequestURI().getPath(),
                    HttpBodies.header(exchange, "Siskin-Request-Id"),
                    HttpBodies.header(exchange, "Idempotency-Key"),
                    key,
                    HttpBodies.header(exchange, "X-Caller-Tag"),
                    HttpBodies.header(exchange, "Siskin-Customer"),
                    HttpBodies.header(exchange, "Siskin-Rank"),
                    slot.isEmpty() ? -1 : Integer.parseInt(slot),
                    fence(HttpBodies.header(exchange, "Siskin-Fence")),
                    nowNs + Math.min(deadlineMs, NO_DEADLINE_MS) * NS_PER_MS,
                    requestedFault(key, HttpBodies.header(exchange, "X-Standin-Fault")));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("a Siskin header holds no valid number: " + e.getMessage(), e);
        }
    }

    boolean isExpired() {
        return System.nanoTime() - deadlineNs >= 0;
    }

    private static Fence fence(String text) {
        if (text.isEmpty()) {
            return null;
        }
        int dot = text.indexOf('.');
        return new Fence(
                Long.parseLong(text.substring(0, Math.max(0, dot))), Integer.parseInt(text.substring(dot + 1)));
    }

    private static String requestedFault(String key, String header) {
        if (key.startsWith(CRASH + "-") || header.equals(CRASH)) {
            return CRASH;
        }
        return key.startsWith(FREEZE + "-") || header.equals(FREEZE) ? FREEZE : "";
    }
}
