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
    private final Map<Long, Double> pausedUntil = new LinkedHashMap<>();
    private final List<double[]> slowStartSends = new ArrayList<>();
    double now;

    /** A request that the module received, with the state of its attempts. */
    static final class TrackedRequest {
        final QueryRequest query;
        final QueryClass queryClass;
        int attemptCount;
        int openCount;
        TrackedAttempt firstRun;
        boolean isFinished;

        TrackedRequest(QueryRequest query, QueryClass queryClass) {
            this.query = query;
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
        attempt.request.openCount--;
        attempt.request.isFinished |= isFinished;
        if (!outcome.neverRan() && attempt.request.firstRun == null) {
            attempt.request.firstRun = attempt;
        }
        boolean isUncertain =
                outcome == AttemptOutcome.TIMEOUT
                        || outcome == AttemptOutcome.RESET
                        || outcome == AttemptOutcome.CANCELLED;
        if (isUncertain && attempt.request.queryClass.orderedByKey()) {
            pausedUntil.put(
                    attempt.request.query.key(), now + settings.guarantees().keySettleSeconds());
        }
    }

    void checkAnswersAreOnTime() {
        for (TrackedRequest request : requests.values()) {
            check(
                    request.isFinished
                            || now
                                    <= request.query.deadlineAt()
                                            + settings.guarantees().answerGraceSeconds(),
                    "1 unanswered",
                    request.query.id());
        }
    }

    private void check(boolean holds, String rule, RequestId id) {
        if (!holds) {
            violations.add(rule + " " + id.value());
        }
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double timeoutSeconds) {
        TrackedRequest request = requests.get(id.value());
        EngineListing listing = engines.get(engine);
        check(!request.isFinished, "1 sent after completion", id);
        checkRepeatIsSafe(request, listing, id);
        check(listing.stage() == EngineStage.READY, "3 engine not ready", id);
        checkSlowStartBudget(listing, id);
        if (request.queryClass.orderedByKey()) {
            List<TrackedRequest> sameKey = requestsByKey.get(request.query.key());
            boolean isFirst =
                    sameKey.subList(0, sameKey.indexOf(request)).stream()
                            .allMatch(earlier -> earlier.isFinished && earlier.openCount == 0);
            boolean isPauseOver =
                    request.attemptCount > 0
                            || now >= pausedUntil.getOrDefault(request.query.key(), 0.0);
            check(isFirst && isPauseOver, "5 key order", id);
        }
        boolean isZoneAllowed =
                request.queryClass.allowedZones().isEmpty()
                        || request.queryClass.allowedZones().contains(listing.zone());
        check(
                isZoneAllowed
                        && (request.queryClass.allowedKinds().isEmpty()
                                || request.queryClass.allowedKinds().contains(listing.kind())),
                "6 placement",
                id);
        if (request.attemptCount > 0) {
            retryTimes.add(now);
            double window = settings.guarantees().retryBudgetWindowSeconds();
            double maxRetries =
                    settings.guarantees().retryBudgetMinimum()
                            + settings.guarantees().retryBudgetRatio()
                                    * receivedTimes.stream()
                                            .filter(time -> time > now - window)
                                            .count();
            check(
                    retryTimes.stream().filter(time -> time > now - window).count() <= maxRetries,
                    "7 retry budget",
                    id);
        }
        TrackedAttempt attempt = new TrackedAttempt();
        attempt.request = request;
        attempt.index = request.attemptCount++;
        attempt.engine = listing;
        attempt.startedAt = now;
        request.openCount++;
        openAttempts.add(attempt);
    }

    private void checkRepeatIsSafe(TrackedRequest request, EngineListing listing, RequestId id) {
        check(
                request.openCount == 0 || settings.limits().hedgingAllowed(),
                "2 concurrent attempts",
                id);
        check(request.attemptCount < settings.limits().maxAttempts(), "2 attempt limit", id);
        if (request.firstRun != null
                && request.queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            check(false, "2 repeated, not idempotent", id);
        }
        if (request.firstRun != null
                && request.queryClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            check(
                    request.firstRun.engine.cell() == listing.cell()
                            && now
                                    <= request.firstRun.startedAt
                                            + request.queryClass.deduplicationWindowSeconds(),
                    "2 repeated outside cell or window",
                    id);
        }
    }

    /** Counts 0.3 s of work for each attempt: outcomes are drawn after 0.3 s on average. */
    private void checkSlowStartBudget(EngineListing listing, RequestId id) {
        var limits = settings.guarantees();
        if (listing.startedAt() > 0 && now < listing.startedAt() + limits.slowStartSeconds()) {
            slowStartSends.add(new double[] {now, listing.id().value()});
            double work =
                    0.3
                            * slowStartSends.stream()
                                    .filter(
                                            send ->
                                                    send[0] > now - limits.overloadWindowSeconds()
                                                            && send[1] == listing.id().value())
                                    .count();
            double cores = settings.engineKinds().get(listing.kind()).cores();
            check(
                    work
                            <= limits.overloadMultiple()
                                    * limits.slowStartInitialCapacity()
                                    * cores
                                    * limits.overloadWindowSeconds(),
                    "4 slow start budget",
                    id);
        }
    }

    @Override
    public void cancelAttempt(RequestId id, int index) {
        for (TrackedAttempt open : openAttempts) {
            if (open.request.query.id().equals(id) && open.index == index) {
                open.isCancelled = true;
                return;
            }
        }
        violations.add("cancelled unknown attempt of " + id.value());
    }

    @Override
    public void reject(RequestId id, double retryAfterSeconds) {
        TrackedRequest request = requests.get(id.value());
        boolean mayHaveRun = request.firstRun != null || request.openCount > 0;
        check(
                !mayHaveRun || request.queryClass.idempotency() == Idempotency.IDEMPOTENT,
                "2 rejected after possible execution",
                id);
        check(!request.isFinished, "1 answered twice", id);
        request.isFinished = true;
    }

    @Override
    public void fail(RequestId id) {
        TrackedRequest request = requests.get(id.value());
        check(!request.isFinished, "1 answered twice", id);
        request.isFinished = true;
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
