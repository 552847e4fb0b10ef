package org.siskintiller.core.departure;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.control.Appender;
import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.StateImage.RemovedCustomer;

/** Stops the traffic of removed customers at this companion and confirms it in the log. */
public final class Departures {
    private final ControlContext context;
    private final Appender appender;
    private final Map<String, Long> quiesceOffsets = new HashMap<>();
    private final Set<RemovedCustomer> quiesced = new HashSet<>();

    public Departures(ControlContext context, Appender appender) {
        this.context = context;
        this.appender = appender;
    }

    /** Removals may have been applied, or this companion's session has opened. */
    public void onChanged() {
        for (RemovedCustomer removed : context.state().removedCustomers()) {
            Long knownOffset = quiesceOffsets.put(removed.customer(), removed.removalOffset());
            if (knownOffset == null || knownOffset != removed.removalOffset()) {
                context.emit(new ControlAction.QuiesceCustomer(removed.customer(), removed.removalOffset()));
            }
        }
        quiesceOffsets
                .keySet()
                .removeIf(customer -> context.state().removedCustomer(customer).isEmpty());
        confirm();
    }

    /** The gate has no running or queued request of the customer. */
    public void onQuiesced(String customer, long removalOffset) {
        quiesced.add(new RemovedCustomer(customer, removalOffset, List.of()));
        confirm();
    }

    /** Confirms the quiesced customers. Without an open session they are kept until one opens. */
    private void confirm() {
        if (!context.state().isOpen(context.self())) {
            return;
        }
        for (RemovedCustomer removed : quiesced) {
            RemovedCustomer current =
                    context.state().removedCustomer(removed.customer()).orElse(null);
            if (current != null
                    && current.removalOffset() == removed.removalOffset()
                    && !current.confirmed().contains(context.self())) {
                appender.append(
                        new LogRecord.DepartureConfirmed(removed.customer(), removed.removalOffset(), context.self()));
            }
        }
        quiesced.clear();
    }
}
