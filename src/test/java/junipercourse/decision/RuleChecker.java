package junipercourse.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;

/**
 * Checks the seven dispatch rules on every action, from the events and actions alone. The number
 * before a violation is the number of its rule.
 */
final class RuleChecker implements DispatcherActions {
    final DecisionSettings settings;
    final Map<EngineId, EngineListing> engines = new TreeMap<>();
    final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
    final List<TrackedAttempt> openAttempts = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    private final List<Double> receivedTimes = new ArrayList<>();
    private final List<Double> retryTimes = new ArrayList<>();
    private final Map<Long, List<TrackedRequest>> requestsByKey = new LinkedHashMap<>();
    private final Map<Long, Double> pausedUntilByKey = new LinkedHashMap<>();
    private final List<double[]> slowStartSends = new ArrayList<>();
    double now;

    /** A request that the module received, with the state of its attempts. */
    static final class TrackedRequest {
        final QueryRequest request;
        final QueryClass queryClass;
        int attemptCount;
        int openAttemptCount;
        TrackedAttempt firstExecutedAttempt;
        boolean isFinished;

        TrackedRequest(QueryRequest request, QueryClass queryClass) {
            this.request = request;
            this.queryClass = queryClass;
        }
    }

    /** An attempt that the module started and that has no outcome yet. */
    static final class TrackedAttempt {
        TrackedRequest request;
        int index;
        EngineListing engine;
        double startedAt;
        boolean isCancelled;
    }

    RuleChecker(DecisionSettings settings) {
        this.settings = settings;
    }

    void recordRequest(QueryRequest request) {
        TrackedRequest tracked =
                new TrackedRequest(request, settings.queryClasses().get(request.queryClass()));
        requests.put(request.id().value(), tracked);
        receivedTimes.add(now);
        if (tracked.queryClass.orderedByKey()) {
            requestsByKey.computeIfAbsent(request.key(), key -> new ArrayList<>()).add(tracked);
        }
    }

    void recordOutcome(TrackedAttempt attempt, AttemptOutcome outcome, boolean isFinished) {
        openAttempts.remove(attempt);
        attempt.request.openAttemptCount--;
        attempt.request.isFinished |= isFinished;
        if (!outcome.neverRan() && attempt.request.firstExecutedAttempt == null) {
            attempt.request.firstExecutedAttempt = attempt;
        }
        boolean isUncertain =
                outcome == AttemptOutcome.TIMEOUT
                        || outcome == AttemptOutcome.RESET
                        || outcome == AttemptOutcome.CANCELLED;
        if (isUncertain && attempt.request.queryClass.orderedByKey()) {
            pausedUntilByKey.put(
                    attempt.request.request.key(), now + settings.guarantees().keySettleSeconds());
        }
    }

    void checkAnswersAreOnTime() {
        for (TrackedRequest tracked : requests.values()) {
            check(
                    tracked.isFinished
                            || now
                                    <= tracked.request.deadlineAt()
                                            + settings.guarantees().answerGraceSeconds(),
                    "1 unanswered",
                    tracked.request.id());
        }
    }

    private void check(boolean holds, String rule, RequestId id) {
        if (!holds) {
            violations.add(rule + " " + id.value());
        }
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double timeoutSeconds) {
        TrackedRequest tracked = requests.get(id.value());
        EngineListing listing = engines.get(engine);
        check(!tracked.isFinished, "1 sent after completion", id);
        checkRepeatIsSafe(tracked, listing, id);
        check(listing.stage() == EngineStage.READY, "3 engine not ready", id);
        checkSlowStartBudget(listing, id);
        if (tracked.queryClass.orderedByKey()) {
            List<TrackedRequest> requestsOfKey = requestsByKey.get(tracked.request.key());
            boolean isFirstOfKey =
                    requestsOfKey.subList(0, requestsOfKey.indexOf(tracked)).stream()
                            .allMatch(
                                    earlier -> earlier.isFinished && earlier.openAttemptCount == 0);
            boolean isPauseOver =
                    tracked.attemptCount > 0
                            || now >= pausedUntilByKey.getOrDefault(tracked.request.key(), 0.0);
            check(isFirstOfKey && isPauseOver, "5 key order", id);
        }
        boolean isZoneAllowed =
                tracked.queryClass.allowedZones().isEmpty()
                        || tracked.queryClass.allowedZones().contains(listing.zone());
        check(
                isZoneAllowed
                        && (tracked.queryClass.allowedKinds().isEmpty()
                                || tracked.queryClass.allowedKinds().contains(listing.kind())),
                "6 placement",
                id);
        if (tracked.attemptCount > 0) {
            retryTimes.add(now);
            double windowSeconds = settings.guarantees().retryBudgetWindowSeconds();
            double maxRetries =
                    settings.guarantees().retryBudgetMinimum()
                            + settings.guarantees().retryBudgetRatio()
                                    * receivedTimes.stream()
                                            .filter(time -> time > now - windowSeconds)
                                            .count();
            check(
                    retryTimes.stream().filter(time -> time > now - windowSeconds).count()
                            <= maxRetries,
                    "7 retry budget",
                    id);
        }
        TrackedAttempt attempt = new TrackedAttempt();
        attempt.request = tracked;
        attempt.index = tracked.attemptCount++;
        attempt.engine = listing;
        attempt.startedAt = now;
        tracked.openAttemptCount++;
        openAttempts.add(attempt);
    }

    private void checkRepeatIsSafe(TrackedRequest tracked, EngineListing listing, RequestId id) {
        check(
                tracked.openAttemptCount == 0 || settings.limits().hedgingAllowed(),
                "2 concurrent attempts",
                id);
        check(tracked.attemptCount < settings.limits().maxAttempts(), "2 attempt limit", id);
        if (tracked.firstExecutedAttempt != null
                && tracked.queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            check(false, "2 repeated, not idempotent", id);
        }
        if (tracked.firstExecutedAttempt != null
                && tracked.queryClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            check(
                    tracked.firstExecutedAttempt.engine.cell() == listing.cell()
                            && now
                                    <= tracked.firstExecutedAttempt.startedAt
                                            + tracked.queryClass.deduplicationWindowSeconds(),
                    "2 repeated outside cell or window",
                    id);
        }
    }

    /** Counts 0.3 s of work for each attempt: outcomes are drawn after 0.3 s on average. */
    private void checkSlowStartBudget(EngineListing listing, RequestId id) {
        var guarantees = settings.guarantees();
        if (listing.startedAt() > 0 && now < listing.startedAt() + guarantees.slowStartSeconds()) {
            slowStartSends.add(new double[] {now, listing.id().value()});
            double workSeconds =
                    0.3
                            * slowStartSends.stream()
                                    .filter(
                                            send ->
                                                    send[0]
                                                                    > now
                                                                            - guarantees
                                                                                    .overloadWindowSeconds()
                                                            && send[1] == listing.id().value())
                                    .count();
            double cores = settings.engineKinds().get(listing.kind()).cores();
            check(
                    workSeconds
                            <= guarantees.overloadMultiple()
                                    * guarantees.slowStartInitialCapacity()
                                    * cores
                                    * guarantees.overloadWindowSeconds(),
                    "4 slow start budget",
                    id);
        }
    }

    @Override
    public void cancelAttempt(RequestId id, int index) {
        for (TrackedAttempt open : openAttempts) {
            if (open.request.request.id().equals(id) && open.index == index) {
                open.isCancelled = true;
                return;
            }
        }
        violations.add("cancelled unknown attempt of " + id.value());
    }

    @Override
    public void reject(RequestId id, double retryAfterSeconds) {
        TrackedRequest tracked = requests.get(id.value());
        boolean mayHaveRun = tracked.firstExecutedAttempt != null || tracked.openAttemptCount > 0;
        check(
                !mayHaveRun || tracked.queryClass.idempotency() == Idempotency.IDEMPOTENT,
                "2 rejected after possible execution",
                id);
        check(!tracked.isFinished, "1 answered twice", id);
        tracked.isFinished = true;
    }

    @Override
    public void fail(RequestId id) {
        TrackedRequest tracked = requests.get(id.value());
        check(!tracked.isFinished, "1 answered twice", id);
        tracked.isFinished = true;
    }

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {
        check(priority >= 0 && priority <= 3 && memoryMb >= 0, "attempt terms", id);
    }

    @Override
    public void scheduleTimer(double delaySeconds, long token) {
        if (!(delaySeconds > 0)) {
            violations.add("timer delay " + delaySeconds);
        }
    }

    @Override
    public void probeEngine(EngineId engine) {
        if (!engines.containsKey(engine)) {
            violations.add("probed unknown engine");
        }
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        if (payload.length > 256) {
            violations.add("peer message length " + payload.length);
        }
    }

    @Override
    public void subscribeToEndpoints() {
        violations.add("subscribed although endpoint updates are pushed");
    }

    @Override
    public void log(String line) {
        if (line.isBlank()) {
            violations.add("empty log line");
        }
    }
}
