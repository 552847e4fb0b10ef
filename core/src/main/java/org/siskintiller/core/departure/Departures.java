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

/** Stops the traffic of removed customers here and confirms it in the log. */
public final class Departures {
    private final ControlContext context;
    private final Appender appender;
    private final Map<String, Long> asked = new HashMap<>();
    private final Set<RemovedCustomer> quiesced = new HashSet<>();

    public Departures(ControlContext context, Appender appender) {
        this.context = context;
        this.appender = appender;
    }

    /** Removals may have been applied, or the own session has opened. */
    public void onChanged() {
        for (RemovedCustomer each : context.state().removedCustomers()) {
            Long known = asked.put(each.customer(), each.removalOffset());
            if (known == null || known != each.removalOffset()) {
                context.emit(new ControlAction.QuiesceCustomer(each.customer(), each.removalOffset()));
            }
        }
        asked.keySet()
                .removeIf(customer -> context.state().removedCustomer(customer).isEmpty());
        confirm();
    }

    /** The gate counted the customer's requests to zero. */
    public void onQuiesced(String customer, long removalOffset) {
        quiesced.add(new RemovedCustomer(customer, removalOffset, List.of()));
        confirm();
    }

    /** Only an open session can confirm. */
    private void confirm() {
        if (!context.state().isOpen(context.self())) {
            return;
        }
        for (RemovedCustomer each : quiesced) {
            RemovedCustomer current =
                    context.state().removedCustomer(each.customer()).orElse(null);
            if (current != null
                    && current.removalOffset() == each.removalOffset()
                    && !current.confirmed().contains(context.self())) {
                appender.append(
                        new LogRecord.DepartureConfirmed(each.customer(), each.removalOffset(), context.self()));
            }
        }
        quiesced.clear();
    }
}
