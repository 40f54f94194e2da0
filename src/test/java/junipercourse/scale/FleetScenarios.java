package junipercourse.scale;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import junipercourse.SocketTestSupport;
import org.awaitility.core.ConditionTimeoutException;

/**
 * Runs the scenarios of one fleet one after another. Each is measured from its first action until
 * all members that can communicate agree, and at least for a minimum time, so that rates do not
 * come from a brief moment.
 */
final class FleetScenarios {
    static final List<String> ALL =
            List.of(
                    "start", "calm", "kill", "restart", "tenth", "zone", "regions", "loss5",
                    "loss20", "events");

    /**
     * A scenario that does not settle in this time is written as unsettled, and the run continues.
     */
    private static final double MAX_SETTLE_SECONDS = 30;

    private static final int POLL_MILLIS = 20;

    /** Each {@code SHOW FLEET} costs a real member CPU time, which is measured too. */
    private static final int REAL_POLL_MILLIS = 100;

    private static final int EVENT_COUNT = 50;
    private static final double RESTARTED_SHARE = 0.04;

    private final ScaleFleet fleet;
    private final ScenarioRecorder recorder;
    private final RunLimits limits;
    private final Random random;
    private final double minDurationSeconds;
    private final double calmSeconds;
    private final double partitionSeconds;
    private final Map<String, Scenario> scenarios = new LinkedHashMap<>();
    private final double heapBeforeMb = ScenarioRecorder.measureHeapMb();

    private interface Scenario {
        void run() throws IOException;
    }

    /** A finished wait; {@code unmetCondition} describes what was not reached, or is null. */
    private record WaitResult(double seconds, String unmetCondition) {}

    FleetScenarios(
            ScaleFleet fleet,
            ScenarioRecorder recorder,
            RunLimits limits,
            long seed,
            double minDurationSeconds,
            double calmSeconds,
            double partitionSeconds) {
        this.fleet = fleet;
        this.recorder = recorder;
        this.limits = limits;
        this.random = new Random(seed);
        this.minDurationSeconds = minDurationSeconds;
        this.calmSeconds = calmSeconds;
        this.partitionSeconds = partitionSeconds;
        scenarios.put("start", () -> runMeasured("start", fleet::startAll));
        scenarios.put("calm", this::runCalm);
        scenarios.put("kill", () -> runMeasured("kill", () -> fleet.kill(lastMember())));
        scenarios.put("restart", () -> runMeasured("restart", () -> fleet.start(lastMember())));
        scenarios.put(
                "tenth",
                () -> runMeasured("tenth", () -> drawMembers(0.1).forEach(fleet::restart)));
        scenarios.put("zone", this::runZoneLoss);
        scenarios.put("regions", this::runPartition);
        scenarios.put("loss5", () -> runLoss("loss5", 0.05));
        scenarios.put("loss20", () -> runLoss("loss20", 0.2));
        scenarios.put("events", this::runEvents);
    }

    /** Runs one scenario; throws if a limit of the run is exceeded meanwhile. */
    void runScenario(String name) throws IOException {
        System.out.printf("%d members: %s%n", fleet.size, name);
        limits.throwIfAborted();
        scenarios.get(name).run();
    }

    /** The last member: it is hollow and not a seed of the others. */
    private int lastMember() {
        return fleet.size - 1;
    }

    /** Draws a share of the fleet at random from the running hollow members. */
    private List<Integer> drawMembers(double share) {
        List<Integer> members = new ArrayList<>(fleet.runningHollow().boxed().toList());
        Collections.shuffle(members, random);
        return members.subList(0, (int) Math.max(1, Math.round(share * fleet.size)));
    }

    private void runMeasured(String name, Scenario action) throws IOException {
        recorder.beginScenario();
        double startSeconds = Network.nowSeconds();
        action.run();
        finishScenario(name, startSeconds);
    }

    /** Waits for agreement and then for the minimum duration, and writes all metrics. */
    private void finishScenario(String name, double startSeconds) throws IOException {
        WaitResult hollowWait = awaitCondition(startSeconds, POLL_MILLIS, fleet::findDisagreement);
        WaitResult realWait =
                awaitCondition(startSeconds, REAL_POLL_MILLIS, fleet::findRealDisagreement);
        waitFor(startSeconds + minDurationSeconds - Network.nowSeconds());
        ScenarioRecorder.MetricWriter metrics = recorder.endScenario(name);
        metrics.addValue("unsettled", "plays", hollowWait.unmetCondition == null ? 0 : 1);
        writeSettleTime(metrics, "settled", hollowWait);
        if (fleet.realCount > 0) {
            metrics.addValue("real_unsettled", "plays", realWait.unmetCondition == null ? 0 : 1);
            writeSettleTime(metrics, "settled_real", realWait);
        }
    }

    private void writeSettleTime(
            ScenarioRecorder.MetricWriter metrics, String metric, WaitResult wait) {
        if (wait.unmetCondition == null) {
            metrics.addValue(metric, "s", wait.seconds);
        } else {
            metrics.addInvalid(
                    metric,
                    "s",
                    wait.seconds,
                    "not within %.0f s: %s".formatted(MAX_SETTLE_SECONDS, wait.unmetCondition));
        }
        System.out.printf(
                "  %s after %.2f s%s%n",
                metric,
                wait.seconds,
                wait.unmetCondition == null ? "" : ": not so: " + wait.unmetCondition);
    }

    private WaitResult awaitCondition(
            double startSeconds, int pollMillis, Callable<String> condition) {
        String[] unmetCondition = {""};
        try {
            await().pollDelay(Duration.ZERO)
                    .pollInterval(Duration.ofMillis(pollMillis))
                    .atMost(Duration.ofMillis((long) (MAX_SETTLE_SECONDS * 1e3)))
                    .until(
                            () -> {
                                limits.throwIfAborted();
                                unmetCondition[0] = condition.call();
                                return unmetCondition[0] == null;
                            });
        } catch (ConditionTimeoutException e) {
            return new WaitResult(
                    Network.nowSeconds() - startSeconds,
                    unmetCondition[0] == null ? "so only just now" : unmetCondition[0]);
        }
        return new WaitResult(Network.nowSeconds() - startSeconds, null);
    }

    /** Lets the scenario run for this time. */
    private void waitFor(double seconds) {
        for (double endSeconds = Network.nowSeconds() + seconds;
                Network.nowSeconds() < endSeconds; ) {
            limits.throwIfAborted();
            SocketTestSupport.sleepMillis(
                    (long) Math.max(1, Math.min(100, (endSeconds - Network.nowSeconds()) * 1e3)));
        }
    }

    private void runCalm() throws IOException {
        recorder.beginScenario();
        waitFor(calmSeconds);
        ScenarioRecorder.MetricWriter metrics = recorder.endScenario("calm");
        String disagreement = fleet.findDisagreement();
        String realDisagreement = fleet.findRealDisagreement();
        metrics.addValue("unsettled", "plays", disagreement == null ? 0 : 1);
        metrics.addValue("real_unsettled", "plays", realDisagreement == null ? 0 : 1);
        metrics.addValue(
                "heap",
                "MB",
                (ScenarioRecorder.measureHeapMb() - heapBeforeMb) / fleet.hollow.size());
        awaitCondition(
                Network.nowSeconds(),
                POLL_MILLIS,
                fleet::findDisagreement); // the garbage collection stalled all hollow members
    }

    private void runZoneLoss() throws IOException {
        int[] members = fleet.lastZone().toArray();
        runMeasured("zone_lost", () -> IntStream.of(members).forEach(fleet::kill));
        runMeasured("zone_back", () -> IntStream.of(members).forEach(fleet::start));
    }

    /**
     * Partitions the fleet into halves, restarts some members once both halves have settled, then
     * heals the partition.
     */
    private void runPartition() throws IOException {
        recorder.beginScenario();
        double startSeconds = Network.nowSeconds();
        fleet.network.partition(fleet.halves());
        WaitResult partitionWait =
                awaitCondition(startSeconds, POLL_MILLIS, fleet::findDisagreement);
        List<Integer> restarted = drawMembers(RESTARTED_SHARE);
        double pauseSeconds =
                Math.max(0, startSeconds + partitionSeconds * 0.75 - Network.nowSeconds())
                        / restarted.size();
        for (int member : restarted) {
            waitFor(pauseSeconds);
            fleet.restart(member);
        }
        waitFor(startSeconds + partitionSeconds - Network.nowSeconds());
        ScenarioRecorder.MetricWriter metrics = recorder.endScenario("regions_apart");
        metrics.addValue("unsettled", "plays", partitionWait.unmetCondition == null ? 0 : 1);
        writeSettleTime(metrics, "settled", partitionWait);
        runMeasured("regions_healed", fleet.network::heal);
    }

    private void runLoss(String name, double probability) throws IOException {
        recorder.beginScenario();
        fleet.network.setLossProbability(probability);
        waitFor(calmSeconds);
        fleet.network.setLossProbability(0);
        finishScenario(name, Network.nowSeconds());
    }

    private void runEvents() throws IOException {
        WaitResult subscribed =
                awaitCondition(
                        Network.nowSeconds(),
                        POLL_MILLIS,
                        () ->
                                fleet.endpointWatchers.subscriberCount()
                                                == fleet.runningHollow().count()
                                        ? null
                                        : fleet.endpointWatchers.subscriberCount() + " listen");
        long receivedBefore = fleet.endpointWatchers.receivedCount();
        recorder.beginScenario();
        double startSeconds = Network.nowSeconds();
        for (int i = 0; i < EVENT_COUNT; i++) {
            waitFor(startSeconds + i / (double) EVENT_COUNT - Network.nowSeconds());
            fleet.endpointWatchers.post();
        }
        WaitResult delivered =
                awaitCondition(
                        Network.nowSeconds(),
                        POLL_MILLIS,
                        () ->
                                fleet.endpointWatchers.haveAllEvents(fleet.runningHollow())
                                        ? null
                                        : "not all have all");
        waitFor(startSeconds + minDurationSeconds - Network.nowSeconds());
        ScenarioRecorder.MetricWriter metrics = recorder.endScenario("events");
        writeSettleTime(
                metrics, "settled", subscribed.unmetCondition == null ? delivered : subscribed);
        metrics.addValue("event_lag_median", "s", fleet.endpointWatchers.lagSecondsAt(50));
        metrics.addValue("event_lag_worst", "s", fleet.endpointWatchers.lagSecondsAt(100));
        metrics.addValue(
                "events_heard", "events", fleet.endpointWatchers.receivedCount() - receivedBefore);
    }
}
