package junipercourse.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.RequestId;

/**
 * Delays the first byte of each attempt until its connection is established, and checks the rules
 * when that byte is written.
 */
final class DelayedFirstBytes extends ForwardingActions {
    private static final double MAX_CONNECT_SECONDS = 1.5;
    private static final double USUAL_CONNECT_SECONDS = 0.01;

    /** An attempt whose connection is established at a time. */
    private record PendingAttempt(
            RequestId id, int number, EngineListing engine, double connectedAt) {}

    private final RuleChecker checker;
    private final Random random;
    private final List<PendingAttempt> pending = new ArrayList<>();
    private final List<Integer> attemptCounts = new ArrayList<>();
    private int notSentCount;

    /** Returns the number of attempts of which no byte was written. */
    int notSentCount() {
        return notSentCount;
    }

    DelayedFirstBytes(RuleChecker checker, Random random) {
        super(checker);
        this.checker = checker;
        this.random = random;
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double timeoutSeconds) {
        while (attemptCounts.size() <= id.value()) {
            attemptCounts.add(0);
        }
        int number = attemptCounts.set((int) id.value(), attemptCounts.get((int) id.value()) + 1);
        pending.add(
                new PendingAttempt(
                        id,
                        number,
                        checker.engines.get(engine),
                        checker.now
                                + random.nextDouble()
                                        * (random.nextInt(3) == 0
                                                ? MAX_CONNECT_SECONDS
                                                : USUAL_CONNECT_SECONDS)));
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        boolean connecting =
                pending.stream()
                        .anyMatch(
                                candidate ->
                                        candidate.id.equals(id) && candidate.number == attempt);
        if (!connecting) {
            super.cancelAttempt(id, attempt);
        }
    }

    /** Writes the first byte of each connected attempt if the module still permits it. */
    void writeFirstBytes(TagsDispatcher module) {
        for (PendingAttempt attempt : List.copyOf(pending)) {
            if (checker.now < attempt.connectedAt) {
                continue;
            }
            pending.remove(attempt);
            boolean isFinished = checker.requests.get(attempt.id.value()).isFinished;
            if (module.attemptMayStart(checker.now, attempt.id, attempt.number)) {
                EngineListing listing = checker.engines.get(attempt.engine.id());
                if (listing.startedAt() != attempt.engine.startedAt()) {
                    checker.violations.add(
                            "3 first byte to restarted engine " + attempt.id.value());
                }
                if (checker.now >= checker.requests.get(attempt.id.value()).query.deadlineAt()) {
                    checker.violations.add("1 first byte after deadline " + attempt.id.value());
                }
                checker.startAttempt(attempt.id, attempt.engine.id(), 0);
                checker.openAttempts.get(checker.openAttempts.size() - 1).index = attempt.number;
            } else {
                notSentCount++;
                module.attemptEnded(
                        checker.now,
                        new AttemptResult(
                                attempt.id,
                                attempt.number,
                                attempt.engine.id(),
                                AttemptOutcome.NOT_SENT,
                                0,
                                isFinished,
                                0,
                                0,
                                new float[0]));
            }
        }
    }
}
