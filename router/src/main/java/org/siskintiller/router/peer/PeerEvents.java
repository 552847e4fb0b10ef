package org.siskintiller.router.peer;

import java.util.List;
import java.util.Optional;

import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.path.BackendLeaves;

/** Receives what companions send to each other besides requests. */
public interface PeerEvents {
    /** Returns the status of this companion, to be sent to the others. */
    PeerStatus status();

    /** A holder renews its lease. Returns empty if this companion is not the authority of the given term. */
    Optional<LeaseReply> renewalReceived(HolderReport report, long term, int sequence);

    /** The authority replied to a renewal. */
    void leaseReplyReceived(String instance, LeaseReply reply);

    /** A connected companion sent its status. */
    void statusReceived(PeerClient client, PeerStatus status);

    /** A connection to another companion was established or lost. */
    void connectionChanged(String instance, boolean connected);

    /**
     * A companion sent a configuration.
     *
     * @param relayTo companions to which this one passes it on
     */
    void configReceived(ConfigUpdate update, List<String> relayTo, String from);

    /** Returns an update for a companion with the given version, or nothing if this one has no newer version. */
    Optional<ConfigUpdate> configRequested(long version);

    /**
     * A companion sent records of the control topic.
     *
     * @param complete whether they are the newest of all keys
     */
    void recordsReceived(List<SharedRecord> records, boolean complete);

    /** A companion that reads the store sent all evacuations that it knows. */
    void evacuationsReceived(List<Evacuation> evacuations, String from);

    /** A companion sent leaves of backend servers beside an instance, which the store may not have yet. */
    void leavesReceived(String instance, BackendLeaves leaves);

    /** A companion has a copy of the leaves that were sent to it. */
    void leavesCopied(String instance, BackendLeaves leaves);

    void suspicionsReceived(List<Suspicion> suspicions);

    /** Another companion has a higher term. Returns false if this one is still the authority afterwards. */
    boolean resignationRequested(long term);

    void resignationAcknowledged(String instance, long term);
}
