package junipercourse.decision;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One start of an engine of a {@link SlowStartSimulation}: the attempts that run there and all work
 * that arrived during its slow start.
 */
final class StartingEngineModel<R> {
    final Set<R> running = new LinkedHashSet<>();
    final long id;
    final double startedAt;
    private final SlowStartSite site;
    private final double stoppedAt;
    private final double speedFactor;
    private final List<Arrival> arrivals = new ArrayList<>();

    private record Arrival(double time, double workSeconds, boolean senderKnewOfStart) {}

    /**
     * Outcome of one start of an engine.
     *
     * @param windowCount windows evaluated
     * @param overloadedWindows windows whose load was above the limit
     * @param isOverloaded whether any window was above the limit
     * @param isRuleBroken whether over two thirds of the load of the first such window came from
     *     dispatchers that knew of the start
     * @param maxLoadRatio highest load of a window in relation to its limit
     * @param maxLoadAgeSeconds age of the engine at the end of that window
     * @param usedCapacityShare work that arrived in relation to what the engine could do during
     *     slow start
     */
    record RampResult(
            int windowCount,
            int overloadedWindows,
            boolean isOverloaded,
            boolean isRuleBroken,
            double maxLoadRatio,
            double maxLoadAgeSeconds,
            double usedCapacityShare) {
        /** Prints the field names that readers of the measurements know. */
        @Override
        public String toString() {
            return "Verdict[windows="
                    + windowCount
                    + ", over="
                    + overloadedWindows
                    + ", fell="
                    + isOverloaded
                    + ", broken="
                    + isRuleBroken
                    + ", most="
                    + maxLoadRatio
                    + ", age="
                    + maxLoadAgeSeconds
                    + ", used="
                    + usedCapacityShare
                    + "]";
        }
    }

    /**
     * @param startedAt start time; 0 for an engine that has been running for long and is warm
     */
    StartingEngineModel(
            SlowStartSite site, long id, double startedAt, double stoppedAt, double speedFactor) {
        this.site = site;
        this.id = id;
        this.startedAt = startedAt;
        this.stoppedAt = stoppedAt;
        this.speedFactor = speedFactor;
    }

    boolean isUp(double now) {
        return now >= startedAt && now < stoppedAt;
    }

    double capacity(double now) {
        return site.cores()
                * speedFactor
                * (startedAt == 0 ? 1 : site.capacityShare(now - startedAt));
    }

    void recordArrival(double now, double workSeconds, boolean senderKnewOfStart) {
        if (startedAt > 0 && now < startedAt + site.guarantees().slowStartSeconds()) {
            arrivals.add(new Arrival(now, workSeconds, senderKnewOfStart));
        }
    }

    /**
     * Evaluates each window that ends at a simulation step during slow start. The limit of a window
     * is n + 2 * sqrt(n) + 2 queries of mean work, where n is what the settings allow: the root
     * allows for chance.
     */
    RampResult evaluateRamp() {
        double windowSeconds = site.guarantees().overloadWindowSeconds();
        int windowCount = 0;
        int overloadedWindows = 0;
        double maxLoadRatio = 0;
        double maxLoadAgeSeconds = 0;
        boolean isOverloaded = false;
        boolean isRuleBroken = false;
        for (double windowEnd = startedAt;
                windowEnd < startedAt + site.guarantees().slowStartSeconds();
                windowEnd += SlowStartSimulation.STEP_SECONDS) {
            double load = 0;
            double informedLoad = 0;
            for (Arrival arrival : arrivals) {
                if (arrival.time > windowEnd - windowSeconds && arrival.time <= windowEnd) {
                    load += arrival.workSeconds / site.meanRequestWorkSeconds();
                    informedLoad +=
                            arrival.senderKnewOfStart
                                    ? arrival.workSeconds / site.meanRequestWorkSeconds()
                                    : 0;
                }
            }
            double meanQueries =
                    capacity(windowEnd)
                            * site.guarantees().overloadMultiple()
                            * windowSeconds
                            / site.meanRequestWorkSeconds();
            double limit = meanQueries + 2 * Math.sqrt(meanQueries) + 2;
            windowCount++;
            overloadedWindows += load > limit ? 1 : 0;
            isRuleBroken |= load > limit && !isOverloaded && informedLoad > load * 2 / 3;
            isOverloaded |= load > limit;
            maxLoadAgeSeconds =
                    load / limit > maxLoadRatio ? windowEnd - startedAt : maxLoadAgeSeconds;
            maxLoadRatio = Math.max(maxLoadRatio, load / limit);
        }
        double totalWorkSeconds = arrivals.stream().mapToDouble(Arrival::workSeconds).sum();
        double capacityWorkSeconds =
                site.cores()
                        * speedFactor
                        * site.guarantees().slowStartSeconds()
                        * (1 + site.guarantees().slowStartInitialCapacity())
                        / 2;
        return new RampResult(
                windowCount,
                overloadedWindows,
                isOverloaded,
                isRuleBroken,
                maxLoadRatio,
                maxLoadAgeSeconds,
                totalWorkSeconds / capacityWorkSeconds);
    }
}
