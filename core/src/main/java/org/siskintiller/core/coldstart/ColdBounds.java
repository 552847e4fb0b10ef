package org.siskintiller.core.coldstart;

/**
 * Bounds of the requests that a cold backend server may receive in any one second.
 *
 * @param overage factor on the rate that a service states for its cold backend servers
 * @param slack requests beyond it
 */
public record ColdBounds(double overage, int slack) {
    /** No backend server is limited. */
    public static final ColdBounds NONE = new ColdBounds(0, 0);

    public ColdBounds {
        if (!(overage >= 0) || slack < 0) {
            throw new IllegalArgumentException("bounds of cold backend servers must not be negative");
        }
    }

    boolean limits() {
        return overage > 0;
    }
}
