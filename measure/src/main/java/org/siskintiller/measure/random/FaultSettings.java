package org.siskintiller.measure.random;

/**
 * Probabilities of the faults in one randomised run.
 *
 * @param messageLoss probability that a message between companions is lost
 * @param messageDuplication probability that a message arrives twice
 * @param messageDelayMs maximum of the random part of an ordinary delay
 * @param longDelay probability of a delay up to longDelayMs
 * @param faultIntervalMs mean time between process, network and log faults
 * @param responseLoss probability that the log's response is lost after the write, while the log is faulty
 * @param lateAppend probability that an append is stored only much later, while the log is faulty
 * @param mutation mechanism that is broken on purpose
 */
record FaultSettings(
        double messageLoss,
        double messageDuplication,
        long messageDelayMs,
        double longDelay,
        long longDelayMs,
        long faultIntervalMs,
        double responseLoss,
        double lateAppend,
        Mutation mutation) {
    static final FaultSettings DEFAULT = new FaultSettings(0.02, 0.02, 3, 0.01, 1500, 2500, 0.3, 0.2, Mutation.NONE);
    static final FaultSettings NONE = new FaultSettings(0, 0, 3, 0, 0, Long.MAX_VALUE / 4_000_000, 0, 0, Mutation.NONE);

    FaultSettings withMutation(Mutation newMutation) {
        return new FaultSettings(
                messageLoss,
                messageDuplication,
                messageDelayMs,
                longDelay,
                longDelayMs,
                faultIntervalMs,
                responseLoss,
                lateAppend,
                newMutation);
    }
}
