package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One seeded schedule of faults: kills with loss of state, restarts, pauses, one-way and two-way
 * partitions, leaves, message loss, duplication and delay for 15 s. Then all faults end, and all
 * members must agree on who runs within {@link #MAX_CONVERGENCE_SECONDS}.
 */
final class FaultSchedule {
    /**
     * From the end of all faults until all members agree: one that was isolated delays its verdicts
     * by up to 10 s.
     */
    static final double MAX_CONVERGENCE_SECONDS = 15;

    /** Limit of the messages that a member sends on average. */
    private static final double MAX_MESSAGES_PER_SECOND = 200;

    final SimulatedNetwork network;
    final double convergenceSeconds;
    private final SplittableRandom random;

    private FaultSchedule(long seed, InjectedFault faults) {
        network = new SimulatedNetwork(seed);
        network.faults = faults;
        random = network.random.split();
        int count = 3 + random.nextInt(5);
        int seeds = 1 + random.nextInt(3);
        network.addFleet(count, seeds);
        boolean atOnce = random.nextBoolean();
        for (SimulatedNetwork.Process process : network.processes) {
            network.scheduleAt(atOnce ? 0 : random.nextDouble() * 3, process::start);
        }
        network.lossRate = random.nextInt(3) * 0.1;
        network.duplicationRate = random.nextInt(2) * 0.1;
        network.maxDelaySeconds = random.nextInt(4) == 0 ? 0.05 : 0.004;
        network.run(3);
        while (network.now < 18) {
            injectFault(network.processes.get(random.nextInt(count)));
            network.run(random.nextDouble() * 2);
        }
        network.heal();
        network.lossRate = 0;
        network.run(1.5); // the last pauses and leaves end
        if (network.processes.subList(0, seeds).stream()
                .noneMatch(SimulatedNetwork.Process::isRunning)) {
            // a process that started in a partition and whose seeds are all gone is known to nobody
            network.processes.get(0).start();
        }
        convergenceSeconds = network.secondsUntilConverged(MAX_CONVERGENCE_SECONDS);
    }

    private void injectFault(SimulatedNetwork.Process process) {
        switch (random.nextInt(9)) {
            case 0, 1 -> {
                if (process.isRunning()) {
                    process.kill();
                }
            }
            case 2, 3, 4 -> {
                if (!process.isRunning()) {
                    process.start();
                } else if (random.nextInt(3) == 0) {
                    process.kill();
                    process.start();
                }
            }
            case 5 -> {
                if (process.isRunning()) {
                    process.pause(random.nextDouble() * (random.nextInt(4) == 0 ? 1 : 0.3) * 5);
                }
            }
            case 6 ->
                    network.block(
                            process,
                            network.processes.get(random.nextInt(network.processes.size())));
            case 7 -> {
                boolean[] isOnFirstSide = new boolean[network.processes.size()];
                for (int i = 0; i < isOnFirstSide.length; i++) {
                    isOnFirstSide[i] = random.nextBoolean();
                }
                for (int a = 0; a < isOnFirstSide.length; a++) {
                    for (int b = 0; b < isOnFirstSide.length; b++) {
                        if (isOnFirstSide[a] != isOnFirstSide[b]) {
                            network.block(network.processes.get(a), network.processes.get(b));
                        }
                    }
                }
            }
            default -> {
                if (random.nextInt(3) == 0
                        && process.isRunning()
                        && !process.isPaused()
                        && network.invariants.currentIncarnation(process) != null) {
                    process.leave();
                } else {
                    network.heal();
                }
            }
        }
    }

    /** Runs the schedule of a seed. */
    static FaultSchedule run(long seed, InjectedFault faults) {
        return new FaultSchedule(seed, faults);
    }

    /** The violations found, each with the seed that reproduces it. */
    static List<String> findViolations(long seed, InjectedFault faults) {
        List<String> violations = new ArrayList<>();
        FaultSchedule schedule = run(seed, faults);
        if (!schedule.network.invariants.violations.isEmpty()) {
            violations.add("seed " + seed + ": " + schedule.network.invariants.violations.get(0));
        }
        if (!schedule.network.invariants.falseUnreachableReports.isEmpty()) {
            violations.add(
                    "seed "
                            + seed
                            + ": "
                            + schedule.network.invariants.falseUnreachableReports.get(0));
        }
        if (Double.isNaN(schedule.convergenceSeconds)) {
            violations.add("seed " + seed + ": not converged " + schedule.network);
        }
        if (schedule.network.largestMessageBytes > GossipMessage.MAX_RECORD_BYTES + 160) {
            violations.add(
                    "seed "
                            + seed
                            + ": a message of "
                            + schedule.network.largestMessageBytes
                            + " bytes");
        }
        double messagesPerSecond =
                schedule.network.messagesSent
                        / schedule.network.now
                        / schedule.network.processes.size();
        if (messagesPerSecond > MAX_MESSAGES_PER_SECOND) {
            violations.add(
                    "seed "
                            + seed
                            + ": "
                            + messagesPerSecond
                            + " messages a second from each member");
        }
        return violations;
    }
}
