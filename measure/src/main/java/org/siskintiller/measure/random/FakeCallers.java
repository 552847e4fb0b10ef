package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;

import org.siskintiller.core.gate.DispatchOutcome;
import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.ownership.KeyHash;
import org.siskintiller.core.replay.ClusterState;

/** Callers that send requests through random companions to the candidates of a slot in turn, and resend some. */
final class FakeCallers {
    private static final long MS = 1_000_000;
    private static final long DEADLINE_NS = 400 * MS;
    private static final double RESEND_PROBABILITY = 0.3;
    private static final int KEYS = 400;
    private static final String[] RANKS = {"urgent", "standard", "bulk"};

    private final RandomRun run;
    private final Random random;
    private final Map<RequestId, Attempt> attemptsById = new HashMap<>();
    private long sequence;

    /** One send to one companion. */
    private static final class Attempt {
        private final Call call;
        private boolean isWritten;
        private boolean isComplete;

        Attempt(Call call) {
            this.call = call;
        }
    }

    /** One request of a caller with the number of earlier attempts. */
    private record Call(ServiceConfig service, String key, String idempotencyKey, String rank, int attempts) {}

    FakeCallers(RandomRun run) {
        this.run = run;
        this.random = run.random();
    }

    void sendRandom() {
        ServiceConfig service = run.services().get(random.nextInt(run.services().size()));
        String key = "key-" + (int) (KEYS * random.nextDouble() * random.nextDouble());
        String idempotencyKey =
                service.idempotent() ? null : uuidVersion7(run.wallMs()).toString();
        send(new Call(service, key, idempotencyKey, RANKS[random.nextInt(RANKS.length)], 0));
    }

    private UUID uuidVersion7(long wallMs) {
        long high = wallMs << 16 | 0x7000L | random.nextInt(0x1000);
        return new UUID(high, random.nextLong() >>> 2 | 0x8000000000000000L);
    }

    private void send(Call call) {
        List<CompanionProcess> companions = run.runningCompanions();
        if (companions.isEmpty()) {
            return;
        }
        CompanionProcess ingress = companions.get(random.nextInt(companions.size()));
        if (ingress.isPaused()) {
            return;
        }
        ClusterState state = ingress.control().state();
        int slots = state.slotCount(call.service.name());
        if (slots == 0) {
            return;
        }
        String hashedKey = call.idempotencyKey == null ? call.key : call.idempotencyKey;
        int slot = KeyHash.slotOf(call.service.name(), hashedKey, slots);
        List<Incarnation> candidates = new ArrayList<>();
        for (Incarnation candidate : state.assignment(call.service.name(), slot).candidates()) {
            if (state.ended(candidate).isEmpty()) {
                candidates.add(candidate);
            }
        }
        if (candidates.isEmpty()) {
            run.counters().add("no owner known");
            return;
        }
        CompanionProcess owner = run.runningProcess(candidates.get(call.attempts % candidates.size()));
        if (owner == null) {
            run.counters().add("owner gone");
            retry(call);
            return;
        }
        RequestId id = new RequestId(7, sequence++);
        Attempt attempt = new Attempt(call);
        attemptsById.put(id, attempt);
        Incarnation incarnation = owner.incarnation();
        run.counters().add("sent");
        run.network()
                .connect(
                        ingress.index(),
                        owner.index(),
                        () -> owner.submit(0, () -> {
                            if (owner.incarnation().equals(incarnation)) {
                                owner.receiveRequest(request(id, call, new SlotId(call.service.name(), slot), owner));
                            }
                        }),
                        () -> retry(call));
        run.queue().after(4 * DEADLINE_NS, () -> timeOut(id, attempt));
    }

    private GateRequest request(RequestId id, Call call, SlotId slot, CompanionProcess owner) {
        long digest = call.key.hashCode();
        return new GateRequest(
                id,
                call.service.name(),
                slot,
                "customer-1",
                call.rank,
                call.service.idempotent(),
                call.idempotencyKey,
                false,
                digest,
                owner.localNs() + DEADLINE_NS,
                digest,
                List.of());
    }

    private void timeOut(RequestId id, Attempt attempt) {
        if (!attempt.isComplete) {
            attempt.isComplete = true;
            run.counters().add("no answer");
            resend(attempt.call, 1);
        }
        attemptsById.remove(id);
    }

    void onWritten(RequestId id) {
        Attempt attempt = attemptsById.get(id);
        if (attempt != null) {
            attempt.isWritten = true;
        }
    }

    void onRefused(CompanionProcess owner, RequestId id, RefusalKind kind) {
        if (kind.outcome() == RefusalKind.Outcome.NOT_RUN) {
            run.checker().recordNotRun(id, kind.name());
        } else {
            run.counters().add("unknown " + kind.name());
        }
        Attempt attempt = attemptsById.get(id);
        if (attempt == null || attempt.isComplete) {
            return;
        }
        attempt.isComplete = true;
        if (kind.outcome() == RefusalKind.Outcome.NOT_RUN) {
            retry(attempt.call);
        } else {
            resend(attempt.call, RESEND_PROBABILITY);
        }
    }

    void onReplayed(RequestId id) {
        run.counters().add("replayed");
        Attempt attempt = attemptsById.get(id);
        if (attempt != null) {
            attempt.isComplete = true;
        }
    }

    void onFinished(RequestId id, DispatchOutcome outcome) {
        run.counters().add("finished " + outcome.getClass().getSimpleName());
        Attempt attempt = attemptsById.get(id);
        if (attempt == null || attempt.isComplete || !(outcome instanceof DispatchOutcome.Answered)) {
            return;
        }
        Invariant.ANSWER_MATCHES_REQUEST.check(
                attempt.isWritten, "answer to request " + id + " that was never written");
        attempt.isComplete = true;
        run.recordServed(attempt.call.service.name());
        resend(attempt.call, RESEND_PROBABILITY);
    }

    /** Tries the next candidate, as an ingress companion does after a not-run refusal. */
    private void retry(Call call) {
        if (call.attempts < 3) {
            Call next = new Call(call.service, call.key, call.idempotencyKey, call.rank, call.attempts + 1);
            run.queue().after((long) (random.nextDouble() * 100 * MS), () -> send(next));
        }
    }

    /** Resends a non-idempotent request with the same key after a random delay of up to 20 s, as callers do. */
    private void resend(Call call, double probability) {
        if (call.idempotencyKey == null || random.nextDouble() >= probability) {
            return;
        }
        run.counters().add("resent");
        long delayNs = (long) (random.nextDouble() * random.nextDouble() * 20_000 * MS);
        Call again = new Call(call.service, call.key, call.idempotencyKey, call.rank, call.attempts);
        run.queue().after(delayNs, () -> send(again));
    }
}
