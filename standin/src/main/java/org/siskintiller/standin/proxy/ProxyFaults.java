package org.siskintiller.standin.proxy;

import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.standin.http.HttpBodies;

/**
 * Faults of one mapping. Forward is the direction from the client to the target.
 *
 * @param delayMs delay of each direction
 * @param lossForward share of datagrams lost; TCP data is delayed by one retransmission, or blocked at a share of 1
 * @param lossBackward the same for the opposite direction
 * @param cut open and new connections are closed, datagrams are lost
 * @param halfOpen connections stay open and are accepted, but neither data nor their end is forwarded
 * @param bytesPerSecond limit of each direction of each TCP connection; 0 is unlimited
 * @param garbage share of datagrams and TCP chunks in which bytes are changed
 */
record ProxyFaults(
        long delayMs,
        double lossForward,
        double lossBackward,
        boolean cut,
        boolean halfOpen,
        long bytesPerSecond,
        double garbage) {
    static final ProxyFaults NONE = new ProxyFaults(0, 0, 0, false, false, 0, 0);

    private static final Set<String> FIELDS = Set.of(
            "map", "mode", "delayMs", "lossForward", "lossBackward", "cut", "halfOpen", "bytesPerSecond", "garbage");

    ProxyFaults {
        checkShare("lossForward", lossForward);
        checkShare("lossBackward", lossBackward);
        checkShare("garbage", garbage);
        if (delayMs < 0 || bytesPerSecond < 0) {
            throw new IllegalArgumentException("delayMs and bytesPerSecond must be at least 0");
        }
    }

    /** Applies a change. {"mode":"up"} clears all faults first; absent fields keep their values. */
    ProxyFaults with(JsonNode change) {
        HttpBodies.checkFields(change, FIELDS);
        ProxyFaults base = change.path("mode").asText("").equals("up") ? NONE : this;
        return new ProxyFaults(
                change.path("delayMs").asLong(base.delayMs),
                change.path("lossForward").asDouble(base.lossForward),
                change.path("lossBackward").asDouble(base.lossBackward),
                change.path("cut").asBoolean(base.cut),
                change.path("halfOpen").asBoolean(base.halfOpen),
                change.path("bytesPerSecond").asLong(base.bytesPerSecond),
                change.path("garbage").asDouble(base.garbage));
    }

    double loss(boolean forward) {
        return forward ? lossForward : lossBackward;
    }

    /** Returns whether a TCP direction forwards nothing. */
    boolean isBlocked(boolean forward) {
        return halfOpen || loss(forward) == 1;
    }

    ObjectNode toJson() {
        return HttpBodies.object()
                .put("delayMs", delayMs)
                .put("lossForward", lossForward)
                .put("lossBackward", lossBackward)
                .put("cut", cut)
                .put("halfOpen", halfOpen)
                .put("bytesPerSecond", bytesPerSecond)
                .put("garbage", garbage);
    }

    private static void checkShare(String name, double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(name + " is " + share + ", not from 0 to 1");
        }
    }
}
