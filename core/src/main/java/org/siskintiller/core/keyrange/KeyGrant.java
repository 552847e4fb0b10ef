package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * Assignment of a range to the backend server beside one instance.
 *
 * @param run start time of the backend server's run that the grant is for; another run needs a new fence
 * @param fence fencing token; higher than that of every earlier grant of these keys
 * @param handover token of the previous holder, empty when it sent none
 */
public record KeyGrant(KeyRange range, String holder, long run, long fence, String handover) {

    public KeyGrant {
        Objects.requireNonNull(range, "range");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(handover, "handover");
        if (fence < 1) {
            throw new IllegalArgumentException("fence must be at least 1");
        }
    }

    KeyGrant withRange(KeyRange part) {
        return new KeyGrant(part, holder, run, fence, handover);
    }

    /** Returns what remains of the grant when the ranges are cut out of it. */
    public List<KeyGrant> without(List<KeyRange> cuts) {
        List<KeyRange> ordered = new ArrayList<>(cuts);
        ordered.sort(Comparator.comparingInt(KeyRange::from));
        List<KeyGrant> rest = new ArrayList<>();
        int next = range.from();
        for (KeyRange cut : ordered) {
            if (cut.to() < next || cut.from() > range.to()) {
                continue;
            }
            if (cut.from() > next) {
                rest.add(withRange(new KeyRange(next, cut.from() - 1)));
            }
            next = cut.to() + 1;
        }
        if (next <= range.to()) {
            rest.add(withRange(new KeyRange(next, range.to())));
        }
        return rest;
    }
}
