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
 * What one instance of the module costs by the engines that it has listed; one thread, nothing
 * beside it.
 */
final class DecisionCost {
    private static final double RATE = 431; // queries a second, those of one of 720 dispatchers
    private static final int IN_HAND = 20;
    private static final int INSTANCES = 40;

    private final SlowStartDispatcher gateway = new SlowStartDispatcher(0, 0, Double.MAX_VALUE);
    private final ArrayDeque<SlowStartDispatcher.Asked> out = new ArrayDeque<>();
    private final Random random = new Random(34);
    private final SlowStartSite site;
    private final int engines;
    private double now;
    private long lastId;

    DecisionCost(SlowStartSite site, int engines) {
        this.site = site;
        this.engines = engines;
        int gateways = Math.max(1, Math.round(engines * 720f / 980));
        gateway.start(0, site.settings(gateways, 0, RATE * gateways / 0.85), 34, List.of());
        gateway.module.endpointsChanged(
                0,
                EndpointUpdateKind.FULL,
                list()); // the model's own notes of it stay out of the heap
        gateway.settle(0);
    }

    private List<EngineListing> list() {
        List<EngineListing> list = new ArrayList<>();
        for (long id = 1; id <= engines; id++) {
            list.add(new EngineListing(new EngineId(id), 0, 0, 0, EngineStage.READY, 1, 0));
        }
        return list;
    }

    /**
     * Offers so many queries, each with an answer to an older one, settled as turns of their own.
     */
    private void queries(int count) {
        for (int i = 0; i < count; i++) {
            now += 1 / RATE;
            int c = random.nextInt(site.classes().size());
            double work = 0.05 * site.classes().get(c).threads();
            long key = site.classes().get(c).orderedByKey() ? lastId + 1 : 0;
            double tenant = random.nextDouble();
            QueryRequest r =
                    new QueryRequest(
                            new RequestId(++lastId),
                            c,
                            tenant < 0.41 ? 0 : tenant < 0.81 ? 1 : 2,
                            now + site.classes().get(c).deadlineSeconds(),
                            key,
                            random.nextInt(40),
                            work,
                            0,
                            false);
            gateway.request(now, r, work);
            turn();
            if (gateway.asked.size() > IN_HAND && !out.isEmpty()) {
                SlowStartDispatcher.Asked a = out.poll();
                gateway.asked.remove(a.r.id().value());
                gateway.module.attemptEnded(
                        now,
                        new AttemptResult(
                                a.r.id(),
                                0,
                                new EngineId(a.engine),
                                AttemptOutcome.OK,
                                0,
                                true,
                                work,
                                0,
                                new float[] {0, 0.5f}));
                gateway.touched = true;
                turn();
            }
        }
        int unsent = gateway.asked.size() - out.size();
        if (unsent > IN_HAND / 2 || out.size() > IN_HAND) {
            throw new IllegalStateException(
                    out.size() + " out, " + unsent + " held: not the steady state");
        }
    }

    private void turn() {
        while (gateway.settle(now)) {
            out.addAll(gateway.sends);
            gateway.sends.clear();
        }
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /**
     * Microseconds of processor time for a query in each repeat, after a warm-up as long as all.
     */
    double[] perQuery(int repeats, int count) {
        queries(repeats * count);
        double[] each = new double[repeats];
        for (int i = 0; i < repeats; i++) {
            long from = cpu();
            queries(count);
            each[i] = (cpu() - from) / 1e3 / count;
        }
        return each;
    }

    /** Microseconds for one change of the list, half of them put an engine out and half back. */
    double[] perChange(int repeats, int count) {
        changes(repeats * count);
        double[] each = new double[repeats];
        for (int i = 0; i < repeats; i++) {
            long from = cpu();
            changes(count);
            each[i] = (cpu() - from) / 1e3 / count;
        }
        return each;
    }

    private void changes(int count) {
        for (int i = 0; i < count; i++) {
            long id = 1 + i / 2 % engines;
            gateway.module.endpointsChanged(
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
            gateway.module.decide(now);
        }
    }

    /** Bytes of one instance that has served some thousand queries and has some in hand. */
    static double heap(SlowStartSite site, int engines) {
        new DecisionCost(site, engines).queries(2000); // what is loaded and kept for all
        long before = used();
        List<DecisionCost> all = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            DecisionCost d = new DecisionCost(site, engines);
            d.queries(2000);
            all.add(d);
        }
        double each = (used() - before) / (double) all.size();
        return all.get(0).lastId > 0 ? each : Double.NaN; // still reachable here
    }

    private static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
