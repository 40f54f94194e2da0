package junipercourse.fleet.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * The scenarios of the scale run under the virtual clock, for comparison: five zones, two regions
 * of which the first holds the zones 0 and 1 and the first half of zone 2, three seeds.
 */
final class VirtualScale {
    /** Receives the results of each scenario. */
    interface ResultListener {
        void onResult(
                String play,
                int size,
                String figure,
                String unit,
                double median,
                double worst,
                int count);

        /**
         * {@code seconds} until all members agreed; NaN if they did not within {@link
         * #MAX_CONVERGENCE_SECONDS}.
         */
        void onConverged(String play, int size, double seconds);
    }

    private static final int ZONES = 5;
    private static final double STEP_SECONDS = 0.25;
    static final double MAX_CONVERGENCE_SECONDS = 120;
    private final SimulatedNetwork network;
    private final int size;
    private final ResultListener listener;
    private double startedAt;

    VirtualScale(MembershipSettings settings, int size, long seed, ResultListener sink) {
        network = new SimulatedNetwork(seed);
        network.settings = settings;
        network.checksInvariants = false;
        this.size = size;
        this.listener = sink;
        List<String> seeds = IntStream.range(0, 3).mapToObj(VirtualScale::address).toList();
        for (int i = 0; i < size; i++) {
            network.add("n" + i, address(i), "z" + i * ZONES / size, seeds);
        }
    }

    private static String address(int number) {
        return "127.1." + number / 200 + "." + (number % 200 + 1) + ":7400";
    }

    private List<SimulatedNetwork.Process> processesInZone(int zone) {
        return network.processes.stream().filter(p -> size(p) * ZONES / size == zone).toList();
    }

    private static int size(SimulatedNetwork.Process process) {
        return Integer.parseInt(process.name.substring(1));
    }

    private boolean isInFirstRegion(SimulatedNetwork.Process process) {
        return size(process) < size / 2;
    }

    private boolean isBlocked(SimulatedNetwork.Process one, SimulatedNetwork.Process other) {
        return network.blockedAddresses.getOrDefault(one.address, Set.of()).contains(other.address);
    }

    void play(Set<String> plays) {
        startMeasurement();
        network.processes.forEach(SimulatedNetwork.Process::start);
        reportMeasurement("start", awaitConvergence());
        network.run(5);
        if (plays.contains("calm")) {
            startMeasurement();
            runInSteps(20);
            reportMeasurement("calm", 0);
        }
        if (plays.contains("kill")) {
            startMeasurement();
            SimulatedNetwork.Process victim = network.processes.get(size / 2);
            victim.kill();
            reportMeasurement("kill", awaitConvergence());
            startMeasurement();
            victim.start();
            reportMeasurement("restart", awaitConvergence());
        }
        if (plays.contains("tenth")) {
            startMeasurement();
            List<SimulatedNetwork.Process> tenth =
                    IntStream.range(0, size / 10)
                            .mapToObj(i -> network.processes.get(3 + i * (size - 3) / (size / 10)))
                            .toList();
            tenth.forEach(SimulatedNetwork.Process::kill);
            tenth.forEach(SimulatedNetwork.Process::start);
            reportMeasurement("tenth", awaitConvergence());
        }
        if (plays.contains("zone")) {
            startMeasurement();
            processesInZone(4).forEach(SimulatedNetwork.Process::kill);
            reportMeasurement("zone_lost", awaitConvergence());
            startMeasurement();
            processesInZone(4).forEach(SimulatedNetwork.Process::start);
            reportMeasurement("zone_back", awaitConvergence());
        }
        if (plays.contains("regions")) {
            partition("regions_apart", "regions_healed", this::isInFirstRegion);
        }
        if (plays.contains("halves")) {
            partition("halves_apart", "halves_healed", process -> size(process) % 2 == 0);
        }
        loseMessages(plays, 0.05, "loss5");
        loseMessages(plays, 0.2, "loss20");
    }

    private void partition(
            String name, String healedName, Predicate<SimulatedNetwork.Process> side) {
        startMeasurement();
        for (SimulatedNetwork.Process sender : network.processes) {
            for (SimulatedNetwork.Process receiver : network.processes) {
                if (side.test(sender) != side.test(receiver)) {
                    network.block(sender, receiver);
                }
            }
        }
        double tookSeconds = awaitConvergence();
        if (tookSeconds < 20) {
            runInSteps(20 - tookSeconds);
        }
        reportMeasurement(name, tookSeconds);
        startMeasurement();
        network.heal();
        reportMeasurement(healedName, awaitConvergence());
    }

    private void loseMessages(Set<String> plays, double share, String name) {
        if (plays.contains(name)) {
            network.run(5);
            startMeasurement();
            network.lossRate = share;
            runInSteps(15);
            network.lossRate = 0;
            reportMeasurement(name, 0);
            awaitConvergence();
        }
    }

    private void startMeasurement() {
        startedAt = network.now;
        network.processes.forEach(
                process -> {
                    process.outgoing.reset();
                    process.incoming.reset();
                });
    }

    private void runInSteps(double seconds) {
        for (double until = network.now + seconds; network.now < until; ) {
            network.run(Math.min(STEP_SECONDS, until - network.now));
        }
    }

    private double awaitConvergence() {
        double waitingSince = network.now;
        while (network.now - waitingSince < MAX_CONVERGENCE_SECONDS) {
            network.run(STEP_SECONDS);
            if (hasConverged()) {
                return network.now - waitingSince;
            }
        }
        return Double.NaN;
    }

    /**
     * Whether all running members that reach each other have the same digest, have converged and
     * know just each other.
     */
    private boolean hasConverged() {
        Map<String, Long> digestBySide = new HashMap<>();
        Map<String, Long> presentBySide = new HashMap<>();
        for (SimulatedNetwork.Process process : network.processes) {
            if (!process.isRunning()) {
                continue;
            }
            MembershipSnapshot snapshot = process.lastSnapshot;
            if (snapshot == null || !snapshot.converged()) {
                return false;
            }
            String side =
                    String.valueOf(
                            network.blockedAddresses.getOrDefault(process.address, Set.of()).size()
                                    + (network.blockedAddresses.isEmpty()
                                            ? ""
                                            : isBlocked(process, network.processes.get(0))
                                                    ? "b"
                                                    : "a"));
            Long digest = digestBySide.putIfAbsent(side, snapshot.digest());
            if (digest != null && digest != snapshot.digest()) {
                return false;
            }
            long presentCount =
                    snapshot.members().stream().filter(each -> each.record().isPresent()).count();
            presentBySide.putIfAbsent(side, presentCount);
        }
        long runningCount =
                network.processes.stream().filter(SimulatedNetwork.Process::isRunning).count();
        return presentBySide.values().stream().mapToLong(Long::longValue).sum() == runningCount;
    }

    private void reportMeasurement(String play, double convergenceSeconds) {
        double seconds = Math.max(STEP_SECONDS, network.now - startedAt);
        List<SimulatedNetwork.Process> running =
                network.processes.stream().filter(SimulatedNetwork.Process::isRunning).toList();
        reportResult(play, "bytes_out", "B/s", running, p -> p.outgoing.bytes / seconds);
        reportResult(
                play,
                "bytes_out_worst_second",
                "B/s",
                running,
                p -> p.outgoing.maxBytesInASecond());
        reportResult(play, "bytes_in", "B/s", running, p -> p.incoming.bytes / seconds);
        reportResult(
                play, "datagrams_out", "datagrams/s", running, p -> p.outgoing.datagrams / seconds);
        if (convergenceSeconds != 0) {
            listener.onConverged(play, size, convergenceSeconds);
        }
    }

    private void reportResult(
            String play,
            String figure,
            String unit,
            List<SimulatedNetwork.Process> running,
            ToDoubleFunction<SimulatedNetwork.Process> value) {
        double[] values = running.stream().mapToDouble(value).sorted().toArray();
        double worst = values[values.length - 1];
        listener.onResult(
                play, size, figure, unit, values[values.length / 2], worst, values.length);
    }
}
