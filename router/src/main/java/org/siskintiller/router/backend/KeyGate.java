package org.siskintiller.router.backend;

/** Which keys the backend server of this machine holds. */
public interface KeyGate {
    /** Whether the backend server holds the key now. */
    boolean serves(int key, long nowNs);

    /** Whether the key is assigned to it and will be granted with its next heartbeat. */
    boolean isAssigned(int key);

    /** Counts a request for the key, for the balance of load. */
    void counted(int key);
}
