package junipercourse.decision;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;

/**
 * Measures what one instance of the module costs by the number of listed engines, on one thread
 * with no other load.
 */
final class DecisionCost {
    private static final double QUERIES_PER_SECOND = 431; // load of one dispatcher of 720
    private static final int OPEN_REQUESTS = 20;
    private static final int INSTANCES = 40;

    private final SlowStartDispatcher dispatcher = new SlowStartDispatcher(0, 0, Double.MAX_VALUE);
    private final ArrayDeque<SlowStartDispatcher.SimulatedRequest> unansweredRequests =
            new ArrayDeque<>();
    private final Random random = new Random(34);
    private final SlowStartSite site;
    private final int engineCount;
    private double now;
    private long lastId;

    DecisionCost(SlowStartSite site, int engineCount) {
        this.site = site;
        this.engineCount = engineCount;
        int dispatcherCount = Math.max(1, Math.round(engineCount * 720f / 980));
        dispatcher.start(
                0,
                site.settings(dispatcherCount, 0, QUERIES_PER_SECOND * dispatcherCount / 0.85),
                34,
                List.of());
        // Bypasses the bookkeeping of the simulated dispatcher, which would count as heap.
        dispatcher.module.endpointsChanged(0, EndpointUpdateKind.FULL, readyListings());
        dispatcher.decideIfNeeded(0);
    }

    private List<EngineListing> readyListings() {
        List<EngineListing> listings = new ArrayList<>();
        for (long id = 1; id <= engineCount; id++) {
            listings.add(new EngineListing(new EngineId(id), 0, 0, 0, EngineStage.READY, 1, 0));
        }
        return listings;
    }

    /**
     * Offers queries, each followed by an answer to an older one; each of these events gets a
     * decision of its own.
     */
    private void runQueries(int count) {
        for (int i = 0; i < count; i++) {
            now += 1 / QUERIES_PER_SECOND;
            int classIndex = random.nextInt(site.classes().size());
            double workSeconds = 0.05 * site.classes().get(classIndex).threads();
            long key = site.classes().get(classIndex).orderedByKey() ? lastId + 1 : 0;
            double tenantDraw = random.nextDouble();
            QueryRequest request =
                    new QueryRequest(
                            new RequestId(++lastId),
                            classIndex,
                            tenantDraw < 0.41 ? 0 : tenantDraw < 0.81 ? 1 : 2,
                            now + site.classes().get(classIndex).deadlineSeconds(),
                            key,
                            random.nextInt(40),
                            workSeconds,
                            0,
                            false);
            dispatcher.receiveRequest(now, request, workSeconds);
            decideUntilIdle();
            if (dispatcher.openRequests.size() > OPEN_REQUESTS && !unansweredRequests.isEmpty()) {
                SlowStartDispatcher.SimulatedRequest answered = unansweredRequests.poll();
                dispatcher.openRequests.remove(answered.request.id().value());
                dispatcher.module.attemptEnded(
                        now,
                        new AttemptResult(
                                answered.request.id(),
                                0,
                                new EngineId(answered.engineId),
                                AttemptOutcome.OK,
                                0,
                                true,
                                workSeconds,
                                0,
                                new float[] {0, 0.5f}));
                dispatcher.hasUnhandledEvents = true;
                decideUntilIdle();
            }
        }
        int unsentCount = dispatcher.openRequests.size() - unansweredRequests.size();
        if (unsentCount > OPEN_REQUESTS / 2 || unansweredRequests.size() > OPEN_REQUESTS) {
            throw new IllegalStateException(
                    unansweredRequests.size()
                            + " attempts open, "
                            + unsentCount
                            + " requests waiting: not a steady state");
        }
    }

    private void decideUntilIdle() {
        while (dispatcher.decideIfNeeded(now)) {
            unansweredRequests.addAll(dispatcher.requestsToSend);
            dispatcher.requestsToSend.clear();
        }
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /**
     * Returns the processor time of a query in microseconds for each repeat, after a warm-up as
     * long as all repeats.
     */
    double[] measureMicrosPerQuery(int repeats, int count) {
        runQueries(repeats * count);
        double[] samples = new double[repeats];
        for (int i = 0; i < repeats; i++) {
            long startNanos = cpuNanos();
            runQueries(count);
            samples[i] = (cpuNanos() - startNanos) / 1e3 / count;
        }
        return samples;
    }

    /**
     * Returns the processor time of one change of the endpoint list in microseconds for each
     * repeat. Half of the changes drain an engine and half return it.
     */
    double[] measureMicrosPerChange(int repeats, int count) {
        applyChanges(repeats * count);
        double[] samples = new double[repeats];
        for (int i = 0; i < repeats; i++) {
            long startNanos = cpuNanos();
            applyChanges(count);
            samples[i] = (cpuNanos() - startNanos) / 1e3 / count;
        }
        return samples;
    }

    private void applyChanges(int count) {
        for (int i = 0; i < count; i++) {
            long id = 1 + i / 2 % engineCount;
            dispatcher.module.endpointsChanged(
                    now,
                    EndpointUpdateKind.DELTA,
                    List.of(
                            new EngineListing(
                                    new EngineId(id),
                                    0,
                                    0,
                                    0,
                                    i % 2 == 0 ? EngineStage.DRAINING : EngineStage.READY,
                                    1,
                                    0)));
            dispatcher.module.decide(now);
        }
    }

    /**
     * Returns the heap bytes of one instance that has served some thousand queries and has some
     * open.
     */
    static double measureHeapBytes(SlowStartSite site, int engineCount) {
        // Loads classes and shared state before the measurement.
        new DecisionCost(site, engineCount).runQueries(2000);
        long bytesBefore = usedHeapBytes();
        List<DecisionCost> instances = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            DecisionCost instance = new DecisionCost(site, engineCount);
            instance.runQueries(2000);
            instances.add(instance);
        }
        double bytesPerInstance = (usedHeapBytes() - bytesBefore) / (double) instances.size();
        // Keeps the instances reachable until here.
        return instances.get(0).lastId > 0 ? bytesPerInstance : Double.NaN;
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
