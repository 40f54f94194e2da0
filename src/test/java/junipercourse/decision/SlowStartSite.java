package junipercourse.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import junipercourse.decision.api.CapacityRating;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.EngineCapabilities;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.LoadMetric;
import junipercourse.decision.api.LoadReportChannel;
import junipercourse.decision.api.OutOfMemoryPolicy;
import junipercourse.decision.api.PlatformLimits;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.ServiceGuarantees;
import junipercourse.decision.api.Tenant;

/**
 * A deployment for {@link SlowStartSimulation}: the settings that a dispatcher is told, and its
 * classes' true work.
 */
record SlowStartSite(
        String name,
        double cores,
        ServiceGuarantees rules,
        List<QueryClass> classes,
        double[] share,
        double[] meanWork,
        double[] cv) {

    /**
     * The settings of the sample in the wire page: three classes of 1, 4 and 2 threads on 12 cores.
     */
    static final SlowStartSite MAIN = site("main", 12, guarantees(0.31, 15, 3, 3), 1);

    /** Short queries on small engines that warm up fast and fall within a second. */
    static final SlowStartSite SHORT = site("short", 4, guarantees(0.2, 6, 2, 1), 0.1);

    /** Long queries on large engines that take half a minute to warm up. */
    static final SlowStartSite LONG = site("long", 32, guarantees(0.5, 30, 4, 5), 4);

    /**
     * The first's rules with one class of middling work: no heavy one makes dispatchers wait
     * longer.
     */
    static final SlowStartSite EVEN =
            new SlowStartSite(
                    "even",
                    12,
                    guarantees(0.31, 15, 3, 3),
                    List.of(queryClass("even", Idempotency.IDEMPOTENT, false, 2, 10, 1, 2)),
                    new double[] {1},
                    new double[] {1.1},
                    new double[] {0.5});

    private static ServiceGuarantees guarantees(
            double coldFrom, double warmWithin, double multiple, double window) {
        return new ServiceGuarantees(
                0.02, 1, coldFrom, warmWithin, multiple, window, 0.5, 0, 0, 0, 10);
    }

    private static SlowStartSite site(
            String name, double cores, ServiceGuarantees rules, double times) {
        return new SlowStartSite(
                name,
                cores,
                rules,
                List.of(
                        queryClass(
                                "quick",
                                Idempotency.IDEMPOTENT,
                                false,
                                1.5 * times,
                                7.5 * times,
                                1,
                                1),
                        queryClass(
                                "report",
                                Idempotency.IDEMPOTENT,
                                false,
                                2 * times,
                                25 * times,
                                5,
                                4),
                        queryClass(
                                "load",
                                Idempotency.IDEMPOTENT_WITH_KEY,
                                true,
                                3 * times,
                                20 * times,
                                5,
                                2)),
                new double[] {13, 2.5, 1},
                new double[] {0.325 * times, 3.85 * times, 4.5 * times},
                new double[] {0.95, 1.5, 0.75});
    }

    private static QueryClass queryClass(
            String name,
            Idempotency effect,
            boolean load,
            double aim,
            double deadline,
            double worth,
            int threads) {
        return new QueryClass(
                name,
                effect,
                DeduplicationScope.ALL,
                deadline * 0.6,
                load,
                aim,
                2,
                deadline,
                worth,
                0.4,
                threads,
                load,
                name.equals("quick"),
                Set.of(),
                Set.of());
    }

    /** Work of the mean request. */
    double mean() {
        double sum = 0;
        double all = 0;
        for (int i = 0; i < share.length; i++) {
            sum += share[i] * meanWork[i];
            all += share[i];
        }
        return sum / all;
    }

    double shares() {
        return Arrays.stream(share).sum();
    }

    /** The true work of a query: lognormal about the mean of its class. */
    double draw(int queryClass, Random random) {
        double variance = Math.log(1 + cv[queryClass] * cv[queryClass]);
        return meanWork[queryClass]
                * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }

    /**
     * Part of its capacity that an engine has at an age: the slowest ramp that the settings allow.
     */
    double warmth(double age) {
        return rules.slowStartInitialCapacity()
                + (1 - rules.slowStartInitialCapacity())
                        * Math.min(1, age / rules.slowStartSeconds());
    }

    /**
     * What each dispatcher is told, with a quota for all customers of so many requests a second.
     */
    DecisionSettings settings(int gateways, int ordinal, double quota) {
        List<Tenant> tenants = new ArrayList<>();
        for (double part : new double[] {0.41, 0.4, 0.19}) {
            tenants.add(new Tenant("t" + tenants.size(), part, part * quota));
        }
        return new DecisionSettings(
                gateways,
                ordinal,
                0,
                false,
                CapacityRating.ROUGH,
                0.05,
                LoadReportChannel.INLINE,
                List.of(LoadMetric.QUEUED, LoadMetric.BUSY),
                classes,
                tenants,
                List.of(new EngineKind("k", cores, 24576)),
                new PlatformLimits(true, false, false, false, true, 0.5, 6, 0.25),
                rules,
                new EngineCapabilities(false, false, 0.4, OutOfMemoryPolicy.SHRINK_GRANT, 0, true));
    }
}
