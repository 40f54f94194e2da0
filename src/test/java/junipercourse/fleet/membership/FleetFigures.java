package junipercourse.fleet.membership;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Prints the figures of the design note: {@code java … junipercourse.fleet.membership.FleetFigures
 * [kill|heal|false|load]}.
 */
final class FleetFigures {
    private FleetFigures() {}

    public static void main(String[] args) {
        List<String> which =
                args.length == 0 ? List.of("kill", "heal", "false", "load") : Arrays.asList(args);
        if (which.contains("kill")) {
            for (int count : new int[] {3, 10, 100}) {
                print("kill seen by all", count, 0, measureKillDetection(count, 0, 20));
                print("kill seen by all", count, 0.2, measureKillDetection(count, 0.2, 20));
            }
        }
        if (which.contains("heal")) {
            for (int count : new int[] {3, 10, 100}) {
                measureHealing(count, 0);
                measureHealing(count, 0.2);
            }
        }
        if (which.contains("false")) {
            for (int count : new int[] {3, 10, 30}) {
                countFalseReportsUnderPauses(count, 600);
            }
        }
        if (which.contains("load")) {
            for (int count : new int[] {3, 10, 30, 100}) {
                measureLoad(count, 0);
                measureLoad(count, 0.2);
            }
        }
    }

    private static SimulatedNetwork startNetwork(long seed, int count, double loss) {
        SimulatedNetwork network = new SimulatedNetwork(seed).addFleet(count, 3).startAll(1);
        network.lossRate = loss;
        network.run(5);
        return network;
    }

    static double[] measureKillDetection(int count, double loss, int times) {
        double[] detectionSeconds = new double[times];
        for (int i = 0; i < detectionSeconds.length; i++) {
            SimulatedNetwork network = startNetwork(i, count, loss);
            SimulatedNetwork.Process victim = network.processes.get(network.random.nextInt(count));
            network.run(network.random.nextDouble());
            MemberId incarnation = network.invariants.currentIncarnation(victim);
            double killedAt = network.now;
            victim.kill();
            while (network.invariants.countUnaware(incarnation) > 0
                    && network.now - killedAt < 30) {
                network.run(0.01);
            }
            detectionSeconds[i] = network.now - killedAt;
        }
        return detectionSeconds;
    }

    private static void measureHealing(int count, double loss) {
        double[] convergenceSeconds = new double[20];
        for (int i = 0; i < convergenceSeconds.length; i++) {
            SimulatedNetwork network = startNetwork(i, count, loss);
            for (int a = 0; a < count; a++) {
                for (int b = 0; b < count; b++) {
                    if (a % 2 != b % 2) {
                        network.block(network.processes.get(a), network.processes.get(b));
                    }
                }
            }
            network.run(20 + network.random.nextDouble());
            network.heal();
            double tookSeconds = network.secondsUntilConverged(60);
            convergenceSeconds[i] = Double.isNaN(tookSeconds) ? 60 : tookSeconds;
        }
        print("settled after healing", count, loss, convergenceSeconds);
    }

    /** Counts false reports of unreachable members with 20% loss and pauses of 1 s. */
    static int countFalseReportsUnderPauses(int count, int seconds) {
        SimulatedNetwork network = startNetwork(1, count, 0.2);
        int pauseCount = 0;
        int snapshotsBefore = network.invariants.snapshotCount;
        for (int step = 0; step < 10 * seconds; step++) {
            if (network.random.nextInt(200) < count) {
                SimulatedNetwork.Process process =
                        network.processes.get(network.random.nextInt(count));
                if (!process.isPaused() && network.now - process.lastResume > 1) {
                    process.pause(1);
                    pauseCount++;
                }
            }
            network.run(0.1);
        }
        System.out.printf(
                Locale.ROOT,
                "%d s, %d members, 20%% loss: %d pauses of 1 s, %d changes,"
                        + " %d false unreachable%n",
                seconds,
                count,
                pauseCount,
                network.invariants.snapshotCount - snapshotsBefore,
                network.invariants.falseUnreachableReports.size());
        network.invariants.falseUnreachableReports.stream().limit(5).forEach(System.out::println);
        return network.invariants.falseUnreachableReports.size()
                + network.invariants.violations.size();
    }

    /** Returns the messages and bytes that each member sends a second. */
    static double[] measureLoad(int count, double loss) {
        SimulatedNetwork network = startNetwork(1, count, loss);
        long messagesBefore = network.messagesSent;
        long bytesBefore = network.bytesSent;
        network.run(60);
        double[] sentPerSecond = {
            (network.messagesSent - messagesBefore) / 60.0 / count,
            (network.bytesSent - bytesBefore) / 60.0 / count
        };
        System.out.printf(
                Locale.ROOT,
                "load, %d members, loss %.1f: %.1f messages/s, %.0f bytes/s a member,"
                        + " largest %d%n",
                count,
                loss,
                sentPerSecond[0],
                sentPerSecond[1],
                network.largestMessageBytes);
        return sentPerSecond;
    }

    private static void print(String label, int count, double loss, double[] seconds) {
        Arrays.sort(seconds);
        System.out.printf(
                Locale.ROOT,
                "%s, %d members, loss %.1f: median %.2f s, worst of %d %.2f s%n",
                label,
                count,
                loss,
                (seconds[9] + seconds[10]) / 2,
                seconds.length,
                seconds[seconds.length - 1]);
    }
}
