package org.siskintiller.router.backend;

import org.siskintiller.core.coldstart.ColdStartLimit;
import org.siskintiller.core.evacuation.DomainEvacuation;
import org.siskintiller.core.lease.KeyHolder;
import org.siskintiller.core.path.BackendPresence;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.RefusalReason;

/** Decides whether a request may be sent to the backend server, by the state of the backend server and its keys. */
final class SendCheck {
    private final BackendPresence presence;
    private final DomainEvacuation evacuation;
    private final ColdStartLimit cold;
    private final CrashDetector crashes;
    private final KeyHolder holder;
    private long unreachableUntilNs = Long.MIN_VALUE;
    private boolean isOpen;
    private boolean stopping;

    SendCheck(BackendState state, CrashDetector crashes, KeyHolder holder) {
        this.presence = state.presence();
        this.evacuation = state.evacuation();
        this.cold = state.cold();
        this.crashes = crashes;
        this.holder = holder;
    }

    /** Lets requests pass. Returns false if they passed already. */
    boolean open() {
        boolean wasOpen = isOpen;
        isOpen = true;
        return !wasOpen;
    }

    void stop() {
        stopping = true;
    }

    void unreachableUntil(long timeNs) {
        unreachableUntilNs = timeNs;
    }

    boolean isAvailable(long nowNs) {
        return isOpen
                && presence.isAvailable(nowNs)
                && nowNs >= unreachableUntilNs
                && !evacuation.active()
                && !cold.unknown();
    }

    /** Whether all new requests for the service are refused at present, whatever their key. */
    boolean refusesAll(String service, long nowNs) {
        return !isOpen
                || !serves(service)
                || nowNs < unreachableUntilNs
                || cold.unknown()
                || stopping
                || !presence.accepts(nowNs)
                || evacuation.refuses(true, nowNs);
    }

    /** Whether the backend server belongs to the service. The name that a sender looked up may have another one by now. */
    private boolean serves(String service) {
        return presence.known() && presence.current().service().equals(service);
    }

    /** Returns why the request cannot be sent to the backend server now, or null. */
    RefusalReason reason(ForwardedRequest request, boolean isQueued, long nowNs) {
        if (!isOpen || !presence.known() || nowNs < unreachableUntilNs || cold.unknown()) {
            return RefusalReason.NO_BACKEND;
        }
        if (!serves(request.service())) {
            return RefusalReason.OTHER_SERVICE;
        }
        if (!presence.accepts(nowNs) || stopping && !isQueued) {
            return RefusalReason.LEAVING;
        }
        if (evacuation.refuses(request.key() != ForwardedRequest.NO_KEY, nowNs)) {
            return RefusalReason.EVACUATED;
        }
        if (crashes.isRefused(request.fingerprint(), nowNs)) {
            return RefusalReason.QUARANTINED;
        }
        if (request.key() != ForwardedRequest.NO_KEY && !holder.serves(request.key(), nowNs)) {
            return RefusalReason.NOT_HOLDER;
        }
        return null;
    }

    /** Returns why a request need not wait any longer, or null. Other causes may pass while it waits. */
    RefusalReason reasonToEndWait(ForwardedRequest request, long nowNs) {
        if (!presence.accepts(nowNs)) {
            return RefusalReason.LEAVING;
        }
        boolean isKeyed = request.key() != ForwardedRequest.NO_KEY;
        return evacuation.refuses(isKeyed, nowNs) ? RefusalReason.EVACUATED : null;
    }
}
