package org.siskintiller.core.spread;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which recipients of a content receive it from its sender, and which ones from another recipient.
 *
 * <p>Load pattern: one companion has a new configuration that its 22 neighbours need. Many new routes take 45 KB, so that 22
 * copies occupy its link of 7 Mbit/s for more than a second, while those of the neighbours are idle.
 */
public final class SpreadPlan {
    /** Copies that a companion sends of a large content. */
    static final int FAN_OUT = 4;
    /** Up to this number of bytes in all copies, a sender serves all recipients itself: relays may fail. */
    static final int MAX_DIRECT_BYTES = 64 * 1024;

    private SpreadPlan() {}

    /** Returns the copies to send, which cover all recipients. */
    public static List<Copy> of(List<String> recipients, int bytes) {
        boolean isSmall = (long) bytes * recipients.size() <= MAX_DIRECT_BYTES;
        int copies = isSmall ? recipients.size() : Math.min(FAN_OUT, recipients.size());
        List<Copy> plan = new ArrayList<>();
        int from = 0;
        for (int i = 0; i < copies; i++) {
            int to = from + (recipients.size() - from) / (copies - i);
            plan.add(new Copy(recipients.get(from), recipients.subList(from + 1, to)));
            from = to;
        }
        return plan;
    }

    /**
     * One copy of the content.
     *
     * @param receiver companion to which it is sent
     * @param relayTo companions to which the receiver passes it on
     */
    public record Copy(String receiver, List<String> relayTo) {
        public Copy {
            relayTo = List.copyOf(relayTo);
        }
    }
}
