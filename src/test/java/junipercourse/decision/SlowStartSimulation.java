package junipercourse.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
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

/**
 * Simulates many dispatchers of uneven traffic and engines that start cold in large numbers, in
 * time steps and from one seed. Reports how much work all dispatchers together sent to each cold
 * engine within the overload window of the settings. Engines share their cores among the running
 * attempts and do not fail under overload, so that every window counts.
 */
final class SlowStartSimulation {
    static final double STEP_SECONDS = 0.02;
    private static final double STEADY_SECONDS = 10; // steady traffic from which dispatchers learn
    private static final double CHANGE_SECONDS = 7; // period in which engines are replaced
    private static final double CONNECT_TIMEOUT_SECONDS = 0.25;
    private static final double NEVER = 1e9;

    /** What makes engines cold. Results print the constants under these names. */
    enum Scenario {
        /** 60% are replaced by other engines within 7 s. */
        REPLACED,
        /** 40% disappear at once and return cold under the same ids 5 s later. */
        ZONE_BACK,
        /**
         * 40% restart under the same ids, one after the other, and the endpoint list reports it
         * late.
         */
        RESTARTED,
        /**
         * 50% are replaced while service discovery is down; then all dispatchers learn of them at
         * once.
         */
        TOLD_AT_ONCE
    }

    private record EndpointChange(double publishedAt, EngineListing listing) {}

    private record ScheduledUpdate(
            double deliveredAt, SlowStartDispatcher dispatcher, EndpointChange change) {}

    /** An attempt that is connecting to its engine or running there. */
    private static final class SimulatedAttempt {
        final SlowStartDispatcher dispatcher;
        final SimulatedRequest request;
        final int incarnation, index;
        final QueryClass queryClass;
        final long engineId;
        double dueAt, remainingWorkSeconds;
        boolean hasFailedToConnect;

        SimulatedAttempt(
                SlowStartDispatcher dispatcher,
                SimulatedRequest request,
                QueryClass queryClass,
                double dueAt) {
            this.dispatcher = dispatcher;
            this.request = request;
            this.incarnation = dispatcher.incarnation;
            this.index = request.attemptCount++;
            this.queryClass = queryClass;
            this.engineId = request.engineId;
            this.dueAt = dueAt;
            this.remainingWorkSeconds = request.workSeconds;
        }
    }

    private final List<StartingEngineModel<SimulatedAttempt>> engines = new ArrayList<>();
    private final SlowStartSite site;
    private final Random random;
    private final Scenario scenario;
    private final double queriesPerSecond, quotaPerSecond, endTime, coldShare;
    private final List<SlowStartDispatcher> dispatchers = new ArrayList<>();
    private final List<Double> trafficWeights = new ArrayList<>();
    private final List<EndpointChange> endpointChanges = new ArrayList<>();
    private final PriorityQueue<ScheduledUpdate> scheduledUpdates =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledUpdate::deliveredAt));
    private final PriorityQueue<SimulatedAttempt> connectingAttempts =
            new PriorityQueue<>(Comparator.comparingDouble(attempt -> attempt.dueAt));
    private final double[] estimateBiasByClass;
    private double now;
    private final double discoveryBackAt; // end of the discovery outage, if there is one
    private long lastId;

    SlowStartSimulation(SlowStartSite site, int dispatcherCount, Scenario scenario, long seed) {
        this.site = site;
        this.scenario = scenario;
        this.random = new Random(seed);
        int engineCount = Math.max(8, Math.min(24, dispatcherCount / 3));
        double capacity = engineCount * site.cores() / site.meanRequestWorkSeconds();
        queriesPerSecond = capacity * (0.45 + 0.75 * random.nextDouble());
        quotaPerSecond = capacity * (0.73 + 0.15 * random.nextDouble());
        endTime = STEADY_SECONDS + CHANGE_SECONDS + 2 + site.guarantees().slowStartSeconds();
        // Estimates are too high or too low by class, by up to a third.
        estimateBiasByClass =
                random.doubles(site.classes().size())
                        .map(uniform -> Math.exp((uniform - 0.5) * 0.7))
                        .toArray();
        discoveryBackAt = STEADY_SECONDS + CHANGE_SECONDS + 1 + 8 * random.nextDouble();
        double weightExponent = 0.4 + 0.5 * random.nextDouble();
        for (int i = 0; i < dispatcherCount; i++) {
            trafficWeights.add(Math.pow(i + 1, -weightExponent));
            boolean restarts = random.nextDouble() < 0.3;
            double updateDelaySeconds =
                    random.nextDouble() < 0.15 ? 3 + 5 * random.nextDouble() : 0;
            double restartAt =
                    STEADY_SECONDS
                            + random.nextDouble()
                                    * (CHANGE_SECONDS + site.guarantees().slowStartSeconds() / 2);
            dispatchers.add(
                    new SlowStartDispatcher(i, updateDelaySeconds, restarts ? restartAt : NEVER));
        }
        // At 0 only one engine becomes cold and attracts the traffic of all dispatchers.
        coldShare =
                switch (scenario) {
                            case REPLACED -> 0.6;
                            case TOLD_AT_ONCE -> 0.5;
                            default -> 0.4;
                        }
                        * (random.nextInt(3) == 0 ? 0 : 1);
        for (int i = 0; i < engineCount; i++) {
            scheduleEngine(i, engineCount);
        }
        simulate();
    }

    /** Returns the outcome of each start of an engine. */
    List<StartingEngineModel.RampResult> evaluateStarts() {
        return engines.stream()
                .filter(engine -> engine.startedAt > 0)
                .map(StartingEngineModel::evaluateRamp)
                .toList();
    }

    private void scheduleEngine(int i, int engineCount) {
        double publishDelaySeconds = 0.23 + 2.2 * random.nextDouble();
        double fraction = random.nextDouble();
        double changeAt = STEADY_SECONDS + CHANGE_SECONDS * fraction;
        double slowStartSeconds = site.guarantees().slowStartSeconds();
        // Otherwise the engine would be warm before dispatchers learn of it.
        if (scenario == Scenario.TOLD_AT_ONCE && changeAt + slowStartSeconds < discoveryBackAt) {
            changeAt = discoveryBackAt - slowStartSeconds * (1 - fraction);
        }
        // The id does not depend on whether the engine becomes cold.
        long id = 1 + (i * 7919L + 13) % 1000;
        if (i >= Math.max(1, engineCount * coldShare)) {
            addIncarnation(id, 0, NEVER);
        } else if (scenario == Scenario.ZONE_BACK) {
            addIncarnation(id, 0, STEADY_SECONDS);
            startColdEngine(
                    id, STEADY_SECONDS + 5 + 0.2 * random.nextDouble(), publishDelaySeconds);
        } else if (scenario == Scenario.RESTARTED) {
            addIncarnation(id, 0, changeAt);
            startColdEngine(id, changeAt + 0.2 + random.nextDouble(), publishDelaySeconds);
        } else {
            double publishedAt =
                    scenario == Scenario.TOLD_AT_ONCE
                            ? discoveryBackAt
                            : changeAt + publishDelaySeconds;
            addIncarnation(id, 0, publishedAt + 3);
            publish(publishedAt, id, EngineStage.DRAINING, 0);
            startColdEngine(id + 1000, changeAt, publishedAt - changeAt);
        }
    }

    private void addIncarnation(long id, double startedAt, double stoppedAt) {
        engines.add(
                new StartingEngineModel<>(
                        site, id, startedAt, stoppedAt, 0.9 + 0.2 * random.nextDouble()));
    }

    private void startColdEngine(long id, double startedAt, double publishDelaySeconds) {
        addIncarnation(id, startedAt, NEVER);
        publish(startedAt + publishDelaySeconds, id, EngineStage.READY, startedAt);
    }

    private void publish(double time, long id, EngineStage stage, double startedAt) {
        EndpointChange change =
                new EndpointChange(
                        time, new EngineListing(new EngineId(id), 0, 0, 0, stage, 1, startedAt));
        endpointChanges.add(change);
        for (SlowStartDispatcher dispatcher : dispatchers) {
            scheduledUpdates.add(
                    new ScheduledUpdate(
                            time + dispatcher.updateDelaySeconds + 0.08 + 0.2 * random.nextDouble(),
                            dispatcher,
                            change));
        }
    }

    private void simulate() {
        dispatchers.forEach(this::startDispatcher);
        double burstAt = STEADY_SECONDS + CHANGE_SECONDS * random.nextDouble();
        double trafficShiftAt = STEADY_SECONDS + CHANGE_SECONDS * random.nextDouble();
        for (double nextArrival = 0; now < endTime; ) {
            now += STEP_SECONDS;
            for (SlowStartDispatcher dispatcher : dispatchers) {
                if (now >= dispatcher.restartAt && dispatcher.startedAt < dispatcher.restartAt) {
                    startDispatcher(dispatcher);
                }
            }
            while (!scheduledUpdates.isEmpty() && scheduledUpdates.peek().deliveredAt <= now) {
                deliver(scheduledUpdates.poll());
            }
            if (now >= trafficShiftAt) {
                trafficShiftAt = NEVER;
                Collections.shuffle(trafficWeights, random);
            }
            double burstFactor = now > burstAt && now < burstAt + 5 ? 1.5 : 1;
            for (;
                    nextArrival < now;
                    nextArrival +=
                            -Math.log(1 - random.nextDouble()) / queriesPerSecond / burstFactor) {
                generateRequest();
            }
            while (!connectingAttempts.isEmpty() && connectingAttempts.peek().dueAt <= now) {
                connect(connectingAttempts.poll());
            }
            for (StartingEngineModel<SimulatedAttempt> engine : engines) {
                advanceEngine(engine);
            }
            for (SlowStartDispatcher dispatcher : dispatchers) {
                while (dispatcher.decideIfNeeded(now)) {
                    applyActions(dispatcher);
                }
            }
        }
    }

    private void startDispatcher(SlowStartDispatcher dispatcher) {
        TreeMap<EngineId, EngineListing> listings = new TreeMap<>();
        engines.stream()
                .filter(engine -> engine.startedAt == 0)
                .map(engine -> new EngineId(engine.id))
                .forEach(
                        id ->
                                listings.put(
                                        id,
                                        new EngineListing(id, 0, 0, 0, EngineStage.READY, 1, 0)));
        endpointChanges.stream()
                .filter(change -> change.publishedAt <= now)
                .sorted(Comparator.comparing(EndpointChange::publishedAt))
                .forEach(change -> listings.put(change.listing.id(), change.listing));
        dispatcher.start(
                now,
                site.settings(dispatchers.size(), dispatcher.ordinal, quotaPerSecond),
                random.nextLong(),
                List.copyOf(listings.values()));
    }

    private void deliver(ScheduledUpdate update) {
        if (update.change.publishedAt > update.dispatcher.startedAt
                || update.dispatcher.incarnation == 1) {
            update.dispatcher.updateEndpoints(
                    now, EndpointUpdateKind.DELTA, List.of(update.change.listing));
        }
    }

    private void generateRequest() {
        double remainingWeight =
                random.nextDouble() * trafficWeights.stream().mapToDouble(weight -> weight).sum();
        int dispatcherIndex = 0;
        for (;
                dispatcherIndex < trafficWeights.size() - 1
                        && remainingWeight >= trafficWeights.get(dispatcherIndex);
                dispatcherIndex++) {
            remainingWeight -= trafficWeights.get(dispatcherIndex);
        }
        int classIndex = 0;
        remainingWeight = random.nextDouble() * site.totalClassWeight();
        for (;
                classIndex < site.classWeights().length - 1
                        && remainingWeight >= site.classWeights()[classIndex];
                classIndex++) {
            remainingWeight -= site.classWeights()[classIndex];
        }
        double workSeconds = site.drawWorkSeconds(classIndex, random);
        double costEstimate =
                workSeconds
                        * estimateBiasByClass[classIndex]
                        * Math.exp(0.3 * random.nextGaussian());
        double deadlineAt = now + site.classes().get(classIndex).deadlineSeconds();
        double tenantDraw = random.nextDouble();
        long key = site.classes().get(classIndex).orderedByKey() ? ++lastId % 50 + 1 : 0;
        dispatchers
                .get(dispatcherIndex)
                .receiveRequest(
                        now,
                        new QueryRequest(
                                new RequestId(++lastId),
                                classIndex,
                                tenantDraw < 0.41 ? 0 : tenantDraw < 0.81 ? 1 : 2,
                                deadlineAt,
                                key,
                                random.nextInt(40),
                                costEstimate,
                                0,
                                false),
                        workSeconds);
    }

    private void applyActions(SlowStartDispatcher dispatcher) {
        for (SimulatedRequest request : List.copyOf(dispatcher.requestsToSend)) {
            // Some connections are established late.
            double connectDelaySeconds = random.nextDouble() < 0.02 ? random.nextDouble() : 0;
            SimulatedAttempt attempt =
                    new SimulatedAttempt(
                            dispatcher,
                            request,
                            site.classes().get(request.request.queryClass()),
                            now + connectDelaySeconds);
            request.openAttempt = attempt;
            connectingAttempts.add(attempt);
        }
        dispatcher.requestsToSend.clear();
        for (SimulatedRequest request : List.copyOf(dispatcher.requestsToCancel)) {
            if (request.openAttempt instanceof SimulatedAttempt attempt) {
                engines.forEach(engine -> engine.running.remove(attempt));
                connectingAttempts.remove(attempt);
                endAttempt(attempt, AttemptOutcome.CANCELLED, 0);
            }
        }
        dispatcher.requestsToCancel.clear();
    }

    private void connect(SimulatedAttempt attempt) {
        StartingEngineModel<SimulatedAttempt> engine =
                engines.stream()
                        .filter(
                                candidate ->
                                        candidate.id == attempt.engineId && candidate.isUp(now))
                        .findFirst()
                        .orElse(null);
        if (attempt.hasFailedToConnect) {
            endAttempt(attempt, AttemptOutcome.UNREACHABLE, 0);
        } else if (engine == null
                || random.nextDouble() < 0.01) { // the connection fails: nothing is written
            attempt.hasFailedToConnect = true;
            attempt.dueAt = now + CONNECT_TIMEOUT_SECONDS;
            connectingAttempts.add(attempt);
        } else {
            engine.recordArrival(
                    now,
                    attempt.request.workSeconds,
                    attempt.dispatcher.knewOfStart(engine.id, engine.startedAt, now));
            // The engine may reject it for too many sessions; its work counts all the same.
            if (random.nextDouble() < 0.005) {
                endAttempt(attempt, AttemptOutcome.REJECTED, 1);
            } else {
                engine.running.add(attempt);
            }
        }
    }

    private void advanceEngine(StartingEngineModel<SimulatedAttempt> engine) {
        if (engine.running.isEmpty()) {
            return;
        }
        double threads =
                engine.running.stream().mapToDouble(attempt -> attempt.queryClass.threads()).sum();
        double capacity = engine.capacity(now);
        boolean isUp = engine.isUp(now);
        List<SimulatedAttempt> endedAttempts = new ArrayList<>();
        for (SimulatedAttempt attempt : engine.running) {
            attempt.remainingWorkSeconds -=
                    STEP_SECONDS * attempt.queryClass.threads() * Math.min(1, capacity / threads);
            if (!isUp || attempt.remainingWorkSeconds <= 0) {
                endedAttempts.add(attempt);
            }
        }
        engine.running.removeAll(endedAttempts);
        endedAttempts.forEach(
                attempt ->
                        endAttempt(
                                attempt,
                                isUp ? AttemptOutcome.OK : AttemptOutcome.RESET,
                                (float) Math.min(1, threads / capacity)));
    }

    private void endAttempt(SimulatedAttempt attempt, AttemptOutcome outcome, float busyShare) {
        attempt.request.openAttempt = null;
        if (attempt.dispatcher.incarnation == attempt.incarnation) {
            boolean isOk = outcome == AttemptOutcome.OK;
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
    }
}
