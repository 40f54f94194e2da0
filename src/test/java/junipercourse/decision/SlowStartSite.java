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
 * A deployment for {@link SlowStartSimulation}: the settings that each dispatcher receives and the
 * true work of the query classes.
 */
record SlowStartSite(
        String name,
        double cores,
        ServiceGuarantees guarantees,
        List<QueryClass> classes,
        double[] classWeights,
        double[] meanWorkSeconds,
        double[] variationCoefficients) {

    /**
     * The settings of the sample in the wire page: three classes of 1, 4 and 2 threads on 12 cores.
     */
    static final SlowStartSite MAIN = scaledSite("main", 12, newGuarantees(0.31, 15, 3, 3), 1);

    /** Short queries on small engines that warm up fast and are overloaded within a second. */
    static final SlowStartSite SHORT = scaledSite("short", 4, newGuarantees(0.2, 6, 2, 1), 0.1);

    /** Long queries on large engines that take half a minute to warm up. */
    static final SlowStartSite LONG = scaledSite("long", 32, newGuarantees(0.5, 30, 4, 5), 4);

    /**
     * The guarantees of {@link #MAIN} with one class of medium work: without a heavy class
     * dispatchers do not wait as long.
     */
    static final SlowStartSite EVEN =
            new SlowStartSite(
                    "even",
                    12,
                    newGuarantees(0.31, 15, 3, 3),
                    List.of(queryClass("even", Idempotency.IDEMPOTENT, false, 2, 10, 1, 2)),
                    new double[] {1},
                    new double[] {1.1},
                    new double[] {0.5});

    private static ServiceGuarantees newGuarantees(
            double initialCapacity,
            double slowStartSeconds,
            double overloadMultiple,
            double overloadWindowSeconds) {
        return new ServiceGuarantees(
                0.02,
                1,
                initialCapacity,
                slowStartSeconds,
                overloadMultiple,
                overloadWindowSeconds,
                0.5,
                0,
                0,
                0,
                10);
    }

    private static SlowStartSite scaledSite(
            String name, double cores, ServiceGuarantees guarantees, double workScale) {
        return new SlowStartSite(
                name,
                cores,
                guarantees,
                List.of(
                        queryClass(
                                "quick",
                                Idempotency.IDEMPOTENT,
                                false,
                                1.5 * workScale,
                                7.5 * workScale,
                                1,
                                1),
                        queryClass(
                                "report",
                                Idempotency.IDEMPOTENT,
                                false,
                                2 * workScale,
                                25 * workScale,
                                5,
                                4),
                        queryClass(
                                "load",
                                Idempotency.IDEMPOTENT_WITH_KEY,
                                true,
                                3 * workScale,
                                20 * workScale,
                                5,
                                2)),
                new double[] {13, 2.5, 1},
                new double[] {0.325 * workScale, 3.85 * workScale, 4.5 * workScale},
                new double[] {0.95, 1.5, 0.75});
    }

    private static QueryClass queryClass(
            String name,
            Idempotency idempotency,
            boolean isLoad,
            double objectiveSeconds,
            double deadlineSeconds,
            double priorityWeight,
            int threads) {
        return new QueryClass(
                name,
                idempotency,
                DeduplicationScope.ALL,
                deadlineSeconds * 0.6,
                isLoad,
                objectiveSeconds,
                2,
                deadlineSeconds,
                priorityWeight,
                0.4,
                threads,
                isLoad,
                name.equals("quick"),
                Set.of(),
                Set.of());
    }

    /** Returns the mean work of a request over all classes. */
    double meanRequestWorkSeconds() {
        double sum = 0;
        double totalWeight = 0;
        for (int i = 0; i < classWeights.length; i++) {
            sum += classWeights[i] * meanWorkSeconds[i];
            totalWeight += classWeights[i];
        }
        return sum / totalWeight;
    }

    double totalClassWeight() {
        return Arrays.stream(classWeights).sum();
    }

    /** Draws the true work of a query from a lognormal distribution with the mean of its class. */
    double drawWorkSeconds(int queryClass, Random random) {
        double variance =
                Math.log(1 + variationCoefficients[queryClass] * variationCoefficients[queryClass]);
        return meanWorkSeconds[queryClass]
                * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }

    /**
     * Returns the share of its full capacity that an engine has at an age: the slowest ramp that
     * the settings allow.
     */
    double capacityShare(double ageSeconds) {
        return guarantees.slowStartInitialCapacity()
                + (1 - guarantees.slowStartInitialCapacity())
                        * Math.min(1, ageSeconds / guarantees.slowStartSeconds());
    }

    /**
     * Returns the settings of one dispatcher.
     *
     * @param quotaPerSecond quota of all tenants together, in requests a second
     */
    DecisionSettings settings(int dispatchers, int ordinal, double quotaPerSecond) {
        List<Tenant> tenants = new ArrayList<>();
        for (double share : new double[] {0.41, 0.4, 0.19}) {
            tenants.add(new Tenant("t" + tenants.size(), share, share * quotaPerSecond));
        }
        return new DecisionSettings(
                dispatchers,
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
                guarantees,
                new EngineCapabilities(false, false, 0.4, OutOfMemoryPolicy.SHRINK_GRANT, 0, true));
    }
}
