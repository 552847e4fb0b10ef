package org.siskintiller.ctl;

import java.util.Set;

import org.siskintiller.core.ownership.KeyHash;
import org.siskintiller.core.replay.ClusterState;

/**
 * Filter for rows of the audit trail. Absent conditions are null or empty.
 *
 * @param customer only changes that concern this customer
 * @param key only assignments that concern this key
 */
record AuditFilter(
        long fromOffset,
        long sinceMs,
        long untilMs,
        Set<AuditKind> kinds,
        String who,
        String customer,
        Key key,
        String operationId) {
    static final AuditFilter ALL = new AuditFilter(0, Long.MIN_VALUE, Long.MAX_VALUE, Set.of(), null, null, null, null);

    AuditFilter {
        kinds = Set.copyOf(kinds);
    }

    boolean matches(AuditRow row) {
        return row.offset() >= fromOffset
                && row.timeMs() >= sinceMs
                && row.timeMs() <= untilMs
                && (kinds.isEmpty() || kinds.contains(row.kind()))
                && (who == null || row.who().equals(who) || row.who().startsWith(who + "/"))
                && (operationId == null || row.operationId().equals(operationId));
    }

    /** Whether the filter has a condition on the customer or key. */
    boolean hasCustomerOrKey() {
        return customer != null || key != null;
    }

    boolean includesCustomer(String name) {
        return name.equals(customer);
    }

    boolean includesSlot(ClusterState state, String service, int slot) {
        if (key == null) {
            return customer == null;
        }
        int slots = state.slotCount(service);
        return key.service().equals(service) && slots > 0 && KeyHash.slotOf(service, key.key(), slots) == slot;
    }

    boolean includesHotKey(String service, String hotKey) {
        return key == null
                ? customer == null
                : key.service().equals(service) && key.key().equals(hotKey);
    }

    /** Key of a service. */
    record Key(String service, String key) {}
}
