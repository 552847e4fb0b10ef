package org.siskintiller.node.backend;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.core.control.ControlAction.OpenSlot;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Sends and renews the grants of the open slots at a backend server that checks fences. */
public final class SlotGrants {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long RESPONSE_TIMEOUT_MS = 600;
    private static final long UNSET = Long.MIN_VALUE;

    /** Clocks may drift by 1%, so a grant expires earlier than the lease by 1% of the remaining time. */
    private static final double MAX_CLOCK_DRIFT = 0.01;

    private final BackendClient client;
    private final Incarnation companion;
    private final java.util.function.LongSupplier clockNs;
    private final Map<Integer, Fence> granted = new HashMap<>();
    private long leaseExpiryNs = UNSET;
    /** Last clock reading of the backend server, received at {@link #serverClockReceivedNs}. */
    private long serverClockMs = UNSET;

    private long serverClockReceivedNs;
    private boolean inFlight;
    private boolean renewPending;

    public SlotGrants(BackendClient client, Incarnation companion, java.util.function.LongSupplier clockNs) {
        this.client = client;
        this.companion = companion;
        this.clockNs = clockNs;
    }

    /** Grants slots and waits until the backend server has accepted them or the request times out. */
    public void grant(List<OpenSlot> slots) throws InterruptedException {
        synchronized (this) {
            for (OpenSlot slot : slots) {
                granted.put(slot.slot(), slot.fence());
            }
        }
        if (!sendAndWait()) {
            EventLog.log(LogEvent.BACKEND_GRANT_FAILED, slots.size() + " slots");
        }
    }

    /** Revokes the grants of slots that have no request in execution. */
    public void revoke(Collection<Integer> slots) {
        synchronized (this) {
            slots.forEach(granted::remove);
        }
        send(buildRequest(slots));
    }

    /** Extends all grants to the new expiry of the lease. */
    public void renew(long expiryNs) {
        synchronized (this) {
            leaseExpiryNs = expiryNs;
            if (expiryNs == UNSET || granted.isEmpty()) {
                return;
            }
            if (inFlight) {
                renewPending = true;
                return;
            }
            inFlight = true;
        }
        send(buildRequest(List.of())).whenComplete((accepted, failure) -> sendPendingRenewal());
    }

    private void sendPendingRenewal() {
        long expiryNs;
        synchronized (this) {
            inFlight = false;
            if (!renewPending) {
                return;
            }
            renewPending = false;
            expiryNs = leaseExpiryNs;
        }
        renew(expiryNs);
    }

    private boolean sendAndWait() throws InterruptedException {
        try {
            // The first exchange only reads the backend server's clock, in which the expiry of the grants is expressed.
            return (hasServerClock() || send(buildRequest(List.of())).get(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    && send(buildRequest(List.of())).get(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return false;
        }
    }

    private synchronized boolean hasServerClock() {
        return serverClockMs != UNSET;
    }

    private CompletableFuture<Boolean> send(String json) {
        return client.control("PUT", "/grants", json).handle((body, failure) -> {
            if (failure != null) {
                return false;
            }
            return storeServerClock(body);
        });
    }

    private boolean storeServerClock(String body) {
        try {
            JsonNode clock = MAPPER.readTree(body).path("clockMs");
            if (!clock.isNumber()) {
                return false;
            }
            synchronized (this) {
                serverClockMs = clock.asLong();
                serverClockReceivedNs = clockNs.getAsLong();
            }
            return true;
        } catch (JsonProcessingException e) {
            return false;
        }
    }

    private synchronized String buildRequest(Collection<Integer> revoked) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("companion", companion.toString());
        root.put("expiresAtMs", expiresAtMs());
        ArrayNode slots = root.putArray("slots");
        if (serverClockMs != UNSET && leaseExpiryNs != UNSET) {
            granted.forEach((slot, fence) -> slots.addObject()
                    .put("slot", slot)
                    .put("version", fence.version())
                    .put("candidateIndex", fence.candidateIndex()));
        }
        ArrayNode droppedSlots = root.putArray("dropped");
        revoked.forEach(droppedSlots::add);
        return root.toString();
    }

    /**
     * Converts the expiry of the lease to the backend server's clock. The clock was read before its response arrived,
     * so the result is never later than the expiry, however long this message takes.
     */
    private long expiresAtMs() {
        if (serverClockMs == UNSET || leaseExpiryNs == UNSET) {
            return 0;
        }
        double remainingMs = (leaseExpiryNs - serverClockReceivedNs) / 1e6;
        return serverClockMs + (long) Math.floor(remainingMs - Math.abs(remainingMs) * MAX_CLOCK_DRIFT);
    }
}
