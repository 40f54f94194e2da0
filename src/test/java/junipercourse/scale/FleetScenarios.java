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
 * The plays of one fleet, one after another. Each is measured from its first act until all that
 * hear each other agree, and at least for a stated time, so that rates are of more than a moment.
 */
final class FleetScenarios {
    static final List<String> ALL =
            List.of(
                    "start", "calm", "kill", "restart", "tenth", "zone", "regions", "loss5",
                    "loss20", "events");

    /** What does not settle in this time is written as such, and the run goes on. */
    private static final double SETTLE_MOST_S = 30;

    private static final int POLL_MS = 20;

    /** A whole table costs a real one some processor time, which is measured too. */
    private static final int REAL_POLL_MS = 100;

    private static final int EVENTS = 50;
    private static final double RESTARTED_APART = 0.04;

    private final ScaleFleet fleet;
    private final ScenarioRecorder meter;
    private final RunLimits guard;
    private final Random random;
    private final double leastS;
    private final double calmS;
    private final double apartS;
    private final Map<String, Scenario> plays = new LinkedHashMap<>();
    private final double heapBefore = ScenarioRecorder.heapMb();

    private interface Scenario {
        void run() throws IOException;
    }

    /** A time that was waited for; {@code fault} tells what was not so in the end, or is null. */
    private record WaitResult(double seconds, String fault) {}

    FleetScenarios(
            ScaleFleet fleet,
            ScenarioRecorder meter,
            RunLimits guard,
            long seed,
            double leastS,
            double calmS,
            double apartS) {
        this.fleet = fleet;
        this.meter = meter;
        this.guard = guard;
        this.random = new Random(seed);
        this.leastS = leastS;
        this.calmS = calmS;
        this.apartS = apartS;
        plays.put("start", () -> measured("start", fleet::startAll));
        plays.put("calm", this::calm);
        plays.put("kill", () -> measured("kill", () -> fleet.kill(last())));
        plays.put("restart", () -> measured("restart", () -> fleet.start(last())));
        plays.put("tenth", () -> measured("tenth", () -> some(0.1).forEach(fleet::restart)));
        plays.put("zone", this::zone);
        plays.put("regions", this::regions);
        plays.put("loss5", () -> loss("loss5", 0.05));
        plays.put("loss20", () -> loss("loss20", 0.2));
        plays.put("events", this::events);
    }

    /** Plays one; fails if a bound of the run is passed meanwhile. */
    void play(String name) throws IOException {
        System.out.printf("%d members: %s%n", fleet.size, name);
        guard.check();
        plays.get(name).run();
    }

    /** The last one of all: hollow, and no seed of the others. */
    private int last() {
        return fleet.size - 1;
    }

    /** So many of the running hollow ones, drawn anew. */
    private List<Integer> some(double share) {
        List<Integer> all = new ArrayList<>(fleet.runningHollow().boxed().toList());
        Collections.shuffle(all, random);
        return all.subList(0, (int) Math.max(1, Math.round(share * fleet.size)));
    }

    private void measured(String name, Scenario act) throws IOException {
        meter.begin();
        double from = Network.now();
        act.run();
        finish(name, from);
    }

    /** Waits for agreement, rounds the time up and writes all figures. */
    private void finish(String name, double from) throws IOException {
        WaitResult all = until(from, POLL_MS, fleet::disagreement);
        WaitResult real = until(from, REAL_POLL_MS, fleet::realDisagreement);
        hold(from + leastS - Network.now());
        ScenarioRecorder.MetricWriter figures = meter.end(name);
        figures.one("unsettled", "plays", all.fault == null ? 0 : 1);
        settled(figures, "settled", all);
        if (fleet.realCount > 0) {
            figures.one("real_unsettled", "plays", real.fault == null ? 0 : 1);
            settled(figures, "settled_real", real);
        }
    }

    private void settled(ScenarioRecorder.MetricWriter figures, String figure, WaitResult wait) {
        if (wait.fault == null) {
            figures.one(figure, "s", wait.seconds);
        } else {
            figures.invalid(
                    figure,
                    "s",
                    wait.seconds,
                    "not within %.0f s: %s".formatted(SETTLE_MOST_S, wait.fault));
        }
        System.out.printf(
                "  %s after %.2f s%s%n",
                figure, wait.seconds, wait.fault == null ? "" : ": not so: " + wait.fault);
    }

    private WaitResult until(double from, int pollMs, Callable<String> fault) {
        String[] newest = {""};
        try {
            await().pollDelay(Duration.ZERO)
                    .pollInterval(Duration.ofMillis(pollMs))
                    .atMost(Duration.ofMillis((long) (SETTLE_MOST_S * 1e3)))
                    .until(
                            () -> {
                                guard.check();
                                newest[0] = fault.call();
                                return newest[0] == null;
                            });
        } catch (ConditionTimeoutException e) {
            return new WaitResult(
                    Network.now() - from, newest[0] == null ? "so only just now" : newest[0]);
        }
        return new WaitResult(Network.now() - from, null);
    }

    /** Lets the play go on for so long. */
    private void hold(double seconds) {
        for (double end = Network.now() + seconds; Network.now() < end; ) {
            guard.check();
            SocketTestSupport.sleepMillis(
                    (long) Math.max(1, Math.min(100, (end - Network.now()) * 1e3)));
        }
    }

    private void calm() throws IOException {
        meter.begin();
        hold(calmS);
        ScenarioRecorder.MetricWriter figures = meter.end("calm");
        String fault = fleet.disagreement();
        String realFault = fleet.realDisagreement();
        figures.one("unsettled", "plays", fault == null ? 0 : 1);
        figures.one("real_unsettled", "plays", realFault == null ? 0 : 1);
        figures.one("heap", "MB", (ScenarioRecorder.heapMb() - heapBefore) / fleet.hollow.size());
        until(Network.now(), POLL_MS, fleet::disagreement); // the collection was a stall for all
    }

    private void zone() throws IOException {
        int[] lost = fleet.lastZone().toArray();
        measured("zone_lost", () -> IntStream.of(lost).forEach(fleet::kill));
        measured("zone_back", () -> IntStream.of(lost).forEach(fleet::start));
    }

    /** Halves apart; once each has settled, some restart, and then they hear each other again. */
    private void regions() throws IOException {
        meter.begin();
        double from = Network.now();
        fleet.network.cut(fleet.halves());
        WaitResult apart = until(from, POLL_MS, fleet::disagreement);
        List<Integer> restarted = some(RESTARTED_APART);
        double pause = Math.max(0, from + apartS * 0.75 - Network.now()) / restarted.size();
        for (int member : restarted) {
            hold(pause);
            fleet.restart(member);
        }
        hold(from + apartS - Network.now());
        ScenarioRecorder.MetricWriter figures = meter.end("regions_apart");
        figures.one("unsettled", "plays", apart.fault == null ? 0 : 1);
        settled(figures, "settled", apart);
        measured("regions_healed", fleet.network::heal);
    }

    private void loss(String name, double share) throws IOException {
        meter.begin();
        fleet.network.lose(share);
        hold(calmS);
        fleet.network.lose(0);
        finish(name, Network.now());
    }

    private void events() throws IOException {
        WaitResult listening =
                until(
                        Network.now(),
                        POLL_MS,
                        () ->
                                fleet.listeners.listening() == fleet.runningHollow().count()
                                        ? null
                                        : fleet.listeners.listening() + " listen");
        long before = fleet.listeners.heardInAll();
        meter.begin();
        double from = Network.now();
        for (int i = 0; i < EVENTS; i++) {
            hold(from + i / (double) EVENTS - Network.now());
            fleet.listeners.post();
        }
        WaitResult all =
                until(
                        Network.now(),
                        POLL_MS,
                        () ->
                                fleet.listeners.haveAll(fleet.runningHollow())
                                        ? null
                                        : "not all have all");
        hold(from + leastS - Network.now());
        ScenarioRecorder.MetricWriter figures = meter.end("events");
        settled(figures, "settled", listening.fault == null ? all : listening);
        figures.one("event_lag_median", "s", fleet.listeners.lagAt(50));
        figures.one("event_lag_worst", "s", fleet.listeners.lagAt(100));
        figures.one("events_heard", "events", fleet.listeners.heardInAll() - before);
    }
}
