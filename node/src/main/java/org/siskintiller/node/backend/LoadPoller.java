package org.siskintiller.node.backend;

import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/**
 * Polls the load of the backend server. A report may be outdated or wrong, so the gate weighs it against its own count
 * of requests.
 */
public final class LoadPoller {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final BackendClient client;
    private final Consumer<GateEvent> gate;

    public LoadPoller(BackendClient client, Consumer<GateEvent> gate) {
        this.client = client;
        this.gate = gate;
    }

    public void poll() {
        client.control("GET", "/load", "").whenComplete((body, failure) -> {
            if (failure != null) {
                EventLog.log(LogEvent.BACKEND_LOAD_FAILED, failure.getMessage());
                return;
            }
            submitReport(body);
        });
    }

    private void submitReport(String body) {
        try {
            JsonNode load = MAPPER.readTree(body);
            if (load.path("running").isInt() && load.path("concurrency").isInt()) {
                gate.accept(new GateEvent.LoadReported(
                        load.path("running").asInt(), load.path("concurrency").asInt()));
            }
        } catch (JsonProcessingException e) {
            EventLog.log(LogEvent.BACKEND_LOAD_FAILED, "malformed load report");
        }
    }
}
