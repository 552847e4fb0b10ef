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

/** Grants of the open slots at a backend server that checks fences. */
public final class SlotGrants {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long WAIT_MS = 600;
    private static final long NONE = Long.MIN_VALUE;

    /** Clocks may drift by 1%, so a grant ends 1% earlier than the lease. */
    private static final double DRIFT = 0.01;

    private final BackendClient client;
    private final Incarnation companion;
    private final java.util.function.LongSupplier clockNs;
    private final Map<Integer, Fence> open = new HashMap<>();
    private long leaseExpiryNs = NONE;
    /** Clock reading of the backend server in ms and the own time in ns at which it arrived. */
    private long clockMs = NONE;

    private long clockReadNs;
    private boolean inFlight;
    private boolean again;

    public SlotGrants(BackendClient client, Incarnation companion, java.util.function.LongSupplier clockNs) {
        this.client = client;
        this.companion = companion;
        this.clockNs = clockNs;
    }

    /** Grants slots and waits until the backend server has accepted them or a short time has passed. */
    public void grant(List<OpenSlot> slots) throws InterruptedException {
        synchronized (this) {
            for (OpenSlot slot : slots) {
                open.put(slot.slot(), slot.fence());
            }
        }
        if (!sendAndWait()) {
            EventLog.log(LogEvent.BACKEND_GRANT_FAILED, slots.size() + " slots");
        }
    }

    /** Takes back the grants of slots that are quiet. */
    public void revoke(Collection<Integer> slots) {
        synchronized (this) {
            slots.forEach(open::remove);
        }
        send(request(slots));
    }

    /** Extends all grants to the new end of the lease. */
    public void renew(long expiryNs) {
        synchronized (this) {
            leaseExpiryNs = expiryNs;
            if (expiryNs == NONE || open.isEmpty()) {
                return;
            }
            if (inFlight) {
                again = true;
                return;
            }
            inFlight = true;
        }
        send(request(List.of())).whenComplete((done, failure) -> renewAgain());
    }

    private void renewAgain() {
        long expiryNs;
        synchronized (this) {
            inFlight = false;
            if (!again) {
                return;
            }
            again = false;
            expiryNs = leaseExpiryNs;
        }
        renew(expiryNs);
    }

    private boolean sendAndWait() throws InterruptedException {
        try {
            // The first exchange only learns the backend server's clock.
            return (knowsClock() || send(request(List.of())).get(WAIT_MS, TimeUnit.MILLISECONDS))
                    && send(request(List.of())).get(WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return false;
        }
    }

    private synchronized boolean knowsClock() {
        return clockMs != NONE;
    }

    private CompletableFuture<Boolean> send(String json) {
        return client.control("PUT", "/grants", json).handle((body, failure) -> {
            if (failure != null) {
                return false;
            }
            return readClock(body);
        });
    }

    private boolean readClock(String body) {
        try {
            JsonNode clock = MAPPER.readTree(body).path("clockMs");
            if (!clock.isNumber()) {
                return false;
            }
            synchronized (this) {
                clockMs = clock.asLong();
                clockReadNs = clockNs.getAsLong();
            }
            return true;
        } catch (JsonProcessingException e) {
            return false;
        }
    }

    private synchronized String request(Collection<Integer> dropped) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("companion", companion.toString());
        root.put("expiresAtMs", expiresAtMs());
        ArrayNode slots = root.putArray("slots");
        if (clockMs != NONE && leaseExpiryNs != NONE) {
            open.forEach((slot, fence) -> slots.addObject()
                    .put("slot", slot)
                    .put("version", fence.version())
                    .put("candidateIndex", fence.candidateIndex()));
        }
        ArrayNode drops = root.putArray("dropped");
        dropped.forEach(drops::add);
        return root.toString();
    }

    /**
     * Expresses the end of the lease in the backend server's clock. The reading is older than its arrival, so the
     * result is never later than the lease, however long this message takes.
     */
    private long expiresAtMs() {
        if (clockMs == NONE || leaseExpiryNs == NONE) {
            return 0;
        }
        double remainingMs = (leaseExpiryNs - clockReadNs) / 1e6;
        return clockMs + (long) Math.floor(remainingMs - Math.abs(remainingMs) * DRIFT);
    }
}
