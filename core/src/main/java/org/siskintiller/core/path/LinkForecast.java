package org.siskintiller.core.path;

/**
 * Decides which requests for downloads a machine accepts, by the time at which their responses have passed its link.
 *
 * <p>Load pattern: callers ask for a quarter more bytes than the links of the service carry. Its backend servers have free
 * slots and run all of them, so that each response waits behind the others and arrives after its caller has left.
 */
public final class LinkForecast {
    private static final double NS_PER_S = 1e9;
    /** Weight of the newest response in the moving average of their sizes. */
    private static final double NEWEST_SIZE_WEIGHT = 0.1;
    /** Time for the response to reach its caller behind the link. */
    private static final long DELIVERY_NS = 50_000_000L;
    /** A request whose objective cannot be met gets what others leave: a link that is free within this time. */
    private static final long MAX_LATE_WAIT_NS = 150_000_000L;

    private final double nsPerByte;
    private double meanBytes;
    /** Bytes of accepted responses that the backend server has not sent yet. */
    private double expectedBytes;

    public LinkForecast(double bytesPerSecond) {
        nsPerByte = NS_PER_S / bytesPerSecond;
    }

    /**
     * Returns the time until a response to a new request has passed the link.
     *
     * @param waitingBytes bytes that wait for the link
     * @param linkWaitNs time until the link is free for them
     */
    public long arrivalNs(long waitingBytes, long linkWaitNs) {
        return linkWaitNs + Math.round((waitingBytes + expectedBytes + meanBytes) * nsPerByte);
    }

    /** Whether a request whose response arrives after the given time is accepted. */
    public boolean accepts(long arrivalNs, long nowNs, long objectiveNs, long deadlineNs) {
        long deliveredNs = nowNs + arrivalNs + DELIVERY_NS;
        if (deliveredNs <= objectiveNs) {
            return true;
        }
        long waitNs = arrivalNs - Math.round(meanBytes * nsPerByte);
        return waitNs <= MAX_LATE_WAIT_NS && deliveredNs <= deadlineNs;
    }

    /** Time after which a refused request may be accepted. */
    public long retryAfterMs(long arrivalNs, long nowNs, long objectiveNs) {
        long objectiveLeftNs = Math.max(MAX_LATE_WAIT_NS, objectiveNs - nowNs - DELIVERY_NS);
        return Math.max(0, (arrivalNs - objectiveLeftNs) / 1_000_000);
    }

    /** Reserves the link for the response to an accepted request. */
    public Response begin() {
        return new Response();
    }

    /** Response to an accepted request. */
    public final class Response {
        private double outstandingBytes = meanBytes;
        private long receivedBytes;
        private boolean ended;

        private Response() {
            expectedBytes += outstandingBytes;
        }

        /** Counts bytes that the backend server has sent. */
        public void received(int bytes) {
            double arrived = Math.min(outstandingBytes, bytes);
            outstandingBytes -= arrived;
            expectedBytes -= arrived;
            receivedBytes += bytes;
        }

        /** Counts the size of a complete response. */
        public void completed() {
            if (ended) {
                return;
            }
            meanBytes = meanBytes == 0 ? receivedBytes : meanBytes + NEWEST_SIZE_WEIGHT * (receivedBytes - meanBytes);
            end();
        }

        /** Releases the rest of the reservation. */
        public void end() {
            if (!ended) {
                ended = true;
                expectedBytes -= outstandingBytes;
            }
        }
    }
}
