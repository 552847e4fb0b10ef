package org.siskintiller.node.runtime;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.StateImage.RemovedCustomer;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Executes the actions of the control plane, on the thread of the control plane. */
final class ControlActionExecutor {
    private final Generation generation;
    private final PeerSender peers;
    private final GenerationListener listener;
    private final GateDecisionExecutor gateExecutor;
    private long configVersion = -1;
    private int removedCustomers = -1;
    private boolean draining;

    ControlActionExecutor(
            Generation generation, PeerSender peers, GenerationListener listener, GateDecisionExecutor gateExecutor) {
        this.generation = generation;
        this.peers = peers;
        this.listener = listener;
        this.gateExecutor = gateExecutor;
    }

    void execute(ControlAction action) {
        if (action instanceof ControlAction.Send send) {
            peers.send(generation.control().state(), send.to(), send.message());
        } else if (action instanceof ControlAction.Append append) {
            generation.appender().append(append);
        } else if (action instanceof ControlAction.LeaseExtended extended) {
            generation.gate().submit(new GateEvent.LeaseExtended(extended.expiryNs()));
            generation.grants().renew(extended.expiryNs());
        } else if (action instanceof ControlAction.OpenSlots open) {
            generation.slots().open(open);
        } else if (action instanceof ControlAction.CloseSlots close) {
            generation.slots().close(close);
        } else if (action instanceof ControlAction.StoreRecords store) {
            generation.gate().submit(new GateEvent.RecordsReceived(store.reset(), store.records()));
        } else if (action instanceof ControlAction.RecordsReplicated replicated) {
            gateExecutor.replicated(replicated.sequence());
        } else if (action instanceof ControlAction.RecordsInLogConfirmed) {
            generation.gate().submit(new GateEvent.RecordsInLogConfirmed());
        } else if (action instanceof ControlAction.StateChanged) {
            stateChanged(generation.control().state());
        } else if (action instanceof ControlAction.QuiesceCustomer quiesce) {
            generation.gate().submit(new GateEvent.CustomerQuiescing(quiesce.customer(), quiesce.removalOffset()));
        } else {
            report(action);
        }
    }

    private void report(ControlAction action) {
        if (action instanceof ControlAction.Retire retire) {
            listener.onRetired(generation, retire.reason());
        } else if (action instanceof ControlAction.Stopped) {
            listener.onStopped(generation);
        } else if (action instanceof ControlAction.Report report) {
            listener.onNotice(report.notice(), report.detail());
        }
    }

    private void stateChanged(ClusterState state) {
        if (!draining
                && state.session(generation.incarnation())
                        .map(Session::draining)
                        .orElse(false)) {
            draining = true;
            listener.onDraining(generation);
        }
        List<RemovedCustomer> removed = state.removedCustomers();
        if (state.configVersion() == configVersion && removed.size() == removedCustomers) {
            return;
        }
        if (state.configVersion() != configVersion) {
            EventLog.log(
                    LogEvent.CONFIG_IN_FORCE,
                    "version " + state.configVersion() + ", preset "
                            + state.config().activePreset());
        }
        configVersion = state.configVersion();
        removedCustomers = removed.size();
        List<String> names = new ArrayList<>();
        removed.forEach(customer -> names.add(customer.customer()));
        generation.gate().submit(new GateEvent.ConfigApplied(configVersion, state.config(), names));
    }
}
