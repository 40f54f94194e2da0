package junipercourse.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import junipercourse.decision.SlowStartDispatcher.SimulatedRequest;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.decision.state.EngineRegistry;

/**
 * Simulates a fleet of any size in which one engine starts cold among many warm ones, with many
 * real instances of the module and steady traffic. It uses the components of {@link
 * SlowStartSimulation} without its faults, so that effects come from the size alone. All random
 * values come from one seed. Traffic is uneven: the weight of a dispatcher is its rank to a
 * negative power of 0.4 to 0.9. One dispatcher in seven learns of the new engine 3 to 8 s late.
 */
final class EngineReplacementSimulation {
    private static final double STEADY_SECONDS = 6; // steady traffic from which dispatchers learn
    static final double AFTER_RAMP_SECONDS = 6;
    private static final double FULL_SHARE =
            0.8; // counts as a full share of the work of the mean front engine
    private static final long NEW_ENGINE_ID = 1; // the lowest id, so that it is in the front tier

    /**
     * Outcome for the new engine. Ages are seconds since its start, NaN if the event did not
     * happen.
     *
     * @param ramp outcome of the slow start
     * @param firstQueryAgeSeconds age at the first query
     * @param fullShareAgeSeconds age at which its work in the last window first was a full share
     * @param firstWindowQueries queries in the first window
     * @param rampShare its work during slow start in relation to that of the mean warm front engine
     *     in the same time
     * @param shareAfterRamp the same from the end of slow start to the end of the simulation
     * @param maxLoadRatioAfterRamp highest load of a window after slow start, in relation to the
     *     same limit
     * @param firstWindowCapacity queries of mean work that the settings allow in the first window
     * @param queriesPerSecond all queries received, by the length of the simulation
     * @param unansweredShare share of all queries that had no answer at their deadline
     */
    record ReplacementResult(
            StartingEngineModel.RampResult ramp,
            double firstQueryAgeSeconds,
            double fullShareAgeSeconds,
            int firstWindowQueries,
            double rampShare,
            double shareAfterRamp,
            double maxLoadRatioAfterRamp,
            double firstWindowCapacity,
            double queriesPerSecond,
            double unansweredShare) {
        /** Prints the field names that readers of the measurements know. */
        @Override
        public String toString() {
            return "Joined[cold="
                    + ramp
                    + ", firstAge="
                    + firstQueryAgeSeconds
                    + ", shareAge="
                    + fullShareAgeSeconds
                    + ", firstWindow="
                    + firstWindowQueries
                    + ", rampPart="
                    + rampShare
                    + ", shareAfter="
                    + shareAfterRamp
                    + ", mostAfter="
                    + maxLoadRatioAfterRamp
                    + ", bears="
                    + firstWindowCapacity
                    + ", queriesPerS="
                    + queriesPerSecond
                    + ", missed="
                    + unansweredShare
                    + "]";
        }
    }

    /** An attempt that runs on its engine. */
    private static final class SimulatedAttempt {
        final SlowStartDispatcher dispatcher;
        final SimulatedRequest request;
        final int index;
        final QueryClass queryClass;
        final long engineId;
        double remainingWorkSeconds;

        SimulatedAttempt(
                SlowStartDispatcher dispatcher, SimulatedRequest request, QueryClass queryClass) {
            this.dispatcher = dispatcher;
            this.request = request;
            this.index = request.attemptCount++;
            this.queryClass = queryClass;
            this.engineId = request.engineId;
            this.remainingWorkSeconds = request.workSeconds;
        }
    }

    private record ScheduledUpdate(double deliveredAt, SlowStartDispatcher dispatcher)
            implements Comparable<ScheduledUpdate> {
        @Override
        public int compareTo(ScheduledUpdate other) {
            return Double.compare(deliveredAt, other.deliveredAt);
        }
    }

    private record Arrival(double time, double workSeconds) {}

    private final SlowStartSite site;
    private final Random random;
    private final Map<Long, StartingEngineModel<SimulatedAttempt>> engines = new HashMap<>();
    private final List<SlowStartDispatcher> dispatchers = new ArrayList<>();
    private final double[] cumulativeWeights;
    private final PriorityQueue<ScheduledUpdate> scheduledUpdates = new PriorityQueue<>();
    private final List<Arrival> newEngineArrivals = new ArrayList<>();
    private final List<Arrival> warmFrontArrivals =
            new ArrayList<>(); // arrivals at all warm engines of the front tier
    private final double startedAt, endTime, queriesPerSecond, stepSeconds;
    private final int warmFrontCount;
    private double now;
    private long lastId;
    private int requestCount;

    /**
     * @param stepSeconds length of a simulation step, well below the time of a query
     * @param engineCount warm engines
     * @param load traffic in relation to the capacity of all warm engines
     */
    EngineReplacementSimulation(
            SlowStartSite site,
            double stepSeconds,
            int dispatcherCount,
            int engineCount,
            double load,
            long seed) {
        this.site = site;
        this.stepSeconds = stepSeconds;
        this.random = new Random(seed);
        double capacity = engineCount * site.cores() / site.meanRequestWorkSeconds();
        queriesPerSecond = load * capacity;
        startedAt = STEADY_SECONDS;
        endTime = startedAt + site.guarantees().slowStartSeconds() + AFTER_RAMP_SECONDS;
        List<EngineListing> listings = new ArrayList<>();
        for (long id = NEW_ENGINE_ID + 1; id <= NEW_ENGINE_ID + engineCount; id++) {
            engines.put(
                    id,
                    new StartingEngineModel<>(
                            site, id, 0, Double.MAX_VALUE, 0.9 + 0.2 * random.nextDouble()));
            listings.add(new EngineListing(new EngineId(id), 0, 0, 0, EngineStage.READY, 1, 0));
        }
        engines.put(
                NEW_ENGINE_ID,
                new StartingEngineModel<>(site, NEW_ENGINE_ID, startedAt, Double.MAX_VALUE, 1));
        warmFrontCount =
                engineCount
                        - Math.max(
                                1, (int) Math.round(engineCount * EngineRegistry.BACK_TIER_SHARE));
        double weightExponent = 0.4 + 0.5 * random.nextDouble();
        double publishedAt = startedAt + 0.1 + 0.2 * random.nextDouble();
        cumulativeWeights = new double[dispatcherCount];
        for (int i = 0; i < dispatcherCount; i++) {
            cumulativeWeights[i] =
                    (i == 0 ? 0 : cumulativeWeights[i - 1]) + Math.pow(i + 1, -weightExponent);
            double updateDelaySeconds =
                    random.nextDouble() < 0.15 ? 3 + 5 * random.nextDouble() : 0;
            SlowStartDispatcher dispatcher =
                    new SlowStartDispatcher(i, updateDelaySeconds, Double.MAX_VALUE);
            dispatcher.start(
                    0,
                    site.settings(dispatcherCount, i, queriesPerSecond / 0.85),
                    random.nextLong(),
                    listings);
            dispatchers.add(dispatcher);
            scheduledUpdates.add(
                    new ScheduledUpdate(
                            publishedAt + updateDelaySeconds + 0.2 * random.nextDouble(),
                            dispatcher));
        }
        simulate();
    }

    private void simulate() {
        EngineListing coldListing =
                new EngineListing(
                        new EngineId(NEW_ENGINE_ID), 0, 0, 0, EngineStage.READY, 1, startedAt);
        for (double nextArrival = 0; now < endTime; ) {
            now += stepSeconds;
            while (!scheduledUpdates.isEmpty() && scheduledUpdates.peek().deliveredAt <= now) {
                scheduledUpdates
                        .poll()
                        .dispatcher
                        .updateEndpoints(now, EndpointUpdateKind.DELTA, List.of(coldListing));
            }
            for (;
                    nextArrival < now;
                    nextArrival += -Math.log(1 - random.nextDouble()) / queriesPerSecond) {
                generateRequest();
            }
            engines.values().forEach(this::advanceEngine);
            for (SlowStartDispatcher dispatcher : dispatchers) {
                while (dispatcher.decideIfNeeded(now)) {
                    applyActions(dispatcher);
                }
            }
        }
    }

    private void generateRequest() {
        int dispatcherIndex =
                Arrays.binarySearch(
                        cumulativeWeights,
                        random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1]);
        int classIndex = 0;
        double remainingWeight = random.nextDouble() * site.totalClassWeight();
        for (;
                classIndex < site.classWeights().length - 1
                        && remainingWeight >= site.classWeights()[classIndex];
                classIndex++) {
            remainingWeight -= site.classWeights()[classIndex];
        }
        double workSeconds = site.drawWorkSeconds(classIndex, random);
        double costEstimate = workSeconds * Math.exp(0.3 * random.nextGaussian());
        double tenantDraw = random.nextDouble();
        long key = site.classes().get(classIndex).orderedByKey() ? ++lastId : 0; // keys are unique
        requestCount++;
        dispatchers
                .get(
                        Math.min(
                                cumulativeWeights.length - 1,
                                dispatcherIndex < 0 ? -dispatcherIndex - 1 : dispatcherIndex))
                .receiveRequest(
                        now,
                        new QueryRequest(
                                new RequestId(++lastId),
                                classIndex,
                                tenantDraw < 0.41 ? 0 : tenantDraw < 0.81 ? 1 : 2,
                                now + site.classes().get(classIndex).deadlineSeconds(),
                                key,
                                random.nextInt(40),
                                costEstimate,
                                0,
                                false),
                        workSeconds);
    }

    private void applyActions(SlowStartDispatcher dispatcher) {
        for (SimulatedRequest request : List.copyOf(dispatcher.requestsToSend)) {
            SimulatedAttempt attempt =
                    new SimulatedAttempt(
                            dispatcher, request, site.classes().get(request.request.queryClass()));
            request.openAttempt = attempt;
            StartingEngineModel<SimulatedAttempt> engine = engines.get(attempt.engineId);
            engine.running.add(attempt);
            engine.recordArrival(now, request.workSeconds, true);
            if (engine.id <= NEW_ENGINE_ID + warmFrontCount) {
                (engine.id == NEW_ENGINE_ID ? newEngineArrivals : warmFrontArrivals)
                        .add(new Arrival(now, request.workSeconds));
            }
        }
        dispatcher.requestsToSend.clear();
        for (SimulatedRequest request : List.copyOf(dispatcher.requestsToCancel)) {
            if (request.openAttempt instanceof SimulatedAttempt attempt) {
                engines.get(attempt.engineId).running.remove(attempt);
                endAttempt(attempt, AttemptOutcome.CANCELLED, 0);
            }
        }
        dispatcher.requestsToCancel.clear();
    }

    private void advanceEngine(StartingEngineModel<SimulatedAttempt> engine) {
        if (engine.running.isEmpty()) {
            return;
        }
        double threads =
                engine.running.stream().mapToDouble(attempt -> attempt.queryClass.threads()).sum();
        double capacity = engine.capacity(now);
        List<SimulatedAttempt> endedAttempts = new ArrayList<>();
        for (SimulatedAttempt attempt : engine.running) {
            attempt.remainingWorkSeconds -=
                    stepSeconds * attempt.queryClass.threads() * Math.min(1, capacity / threads);
            if (attempt.remainingWorkSeconds <= 0) {
                endedAttempts.add(attempt);
            }
        }
        engine.running.removeAll(endedAttempts);
        endedAttempts.forEach(
                attempt ->
                        endAttempt(
                                attempt,
                                AttemptOutcome.OK,
                                (float) Math.min(1, threads / capacity)));
    }

    private void endAttempt(SimulatedAttempt attempt, AttemptOutcome outcome, float busyShare) {
        boolean isOk = outcome == AttemptOutcome.OK;
        attempt.request.openAttempt = null;
        if (isOk) {
            attempt.dispatcher.openRequests.remove(attempt.request.request.id().value());
        }
        attempt.dispatcher.module.attemptEnded(
                now,
                new AttemptResult(
                        attempt.request.request.id(),
                        attempt.index,
                        new EngineId(attempt.engineId),
                        outcome,
                        0,
                        isOk,
                        isOk ? attempt.request.workSeconds : 0,
                        0,
                        new float[] {0, busyShare}));
        attempt.dispatcher.hasUnhandledEvents = true;
    }

    private static double sumWorkSeconds(
            List<Arrival> arrivals, double windowStart, double windowEnd) {
        return arrivals.stream()
                .filter(arrival -> arrival.time > windowStart && arrival.time <= windowEnd)
                .mapToDouble(Arrival::workSeconds)
                .sum();
    }

    private double windowLimit(double ageSeconds) {
        double windowSeconds = site.guarantees().overloadWindowSeconds();
        double meanQueries =
                site.cores()
                        * site.capacityShare(ageSeconds)
                        * site.guarantees().overloadMultiple()
                        * windowSeconds
                        / site.meanRequestWorkSeconds();
        return meanQueries + 2 * Math.sqrt(meanQueries) + 2;
    }

    ReplacementResult evaluate() {
        double windowSeconds = site.guarantees().overloadWindowSeconds();
        double rampEnd = startedAt + site.guarantees().slowStartSeconds();
        double meanFrontLoad =
                sumWorkSeconds(warmFrontArrivals, startedAt, endTime)
                        / warmFrontCount
                        / (endTime - startedAt);
        double fullShareAgeSeconds = Double.NaN;
        double maxLoadRatioAfterRamp = 0;
        for (double windowEnd = startedAt + windowSeconds; windowEnd <= endTime; windowEnd += 0.1) {
            double windowWorkSeconds =
                    sumWorkSeconds(newEngineArrivals, windowEnd - windowSeconds, windowEnd);
            if (Double.isNaN(fullShareAgeSeconds)
                    && windowWorkSeconds >= FULL_SHARE * meanFrontLoad * windowSeconds) {
                fullShareAgeSeconds = windowEnd - startedAt;
            }
            if (windowEnd >= rampEnd) {
                maxLoadRatioAfterRamp =
                        Math.max(
                                maxLoadRatioAfterRamp,
                                windowWorkSeconds
                                        / site.meanRequestWorkSeconds()
                                        / windowLimit(windowEnd - startedAt));
            }
        }
        long unansweredCount =
                dispatchers.stream()
                        .flatMap(dispatcher -> dispatcher.openRequests.values().stream())
                        .filter(each -> each.openAttempt == null && each.request.deadlineAt() < now)
                        .count();
        double firstWindowCapacity =
                site.cores()
                        * site.capacityShare(0)
                        * site.guarantees().overloadMultiple()
                        * windowSeconds
                        / site.meanRequestWorkSeconds();
        return new ReplacementResult(
                engines.get(NEW_ENGINE_ID).evaluateRamp(),
                newEngineArrivals.isEmpty()
                        ? Double.NaN
                        : newEngineArrivals.get(0).time - startedAt,
                fullShareAgeSeconds,
                (int)
                        newEngineArrivals.stream()
                                .filter(each -> each.time <= startedAt + windowSeconds)
                                .count(),
                sumWorkSeconds(newEngineArrivals, startedAt, rampEnd)
                        / meanFrontLoad
                        / (rampEnd - startedAt),
                sumWorkSeconds(newEngineArrivals, rampEnd, endTime)
                        / meanFrontLoad
                        / (endTime - rampEnd),
                maxLoadRatioAfterRamp,
                firstWindowCapacity,
                requestCount / endTime,
                (double) unansweredCount / requestCount);
    }
}
