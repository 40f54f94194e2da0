package junipercourse.fleet.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Many members under one virtual clock, on a network that loses, delays, reorders, duplicates and
 * blocks messages as the seed determines. Each process has a clock of its own that drifts by up to
 * 1%; messages that arrive while it is paused wait in a bounded buffer. {@link
 * MembershipInvariants} checks each snapshot.
 */
final class SimulatedNetwork {
    private static final int MAX_PAUSED_MESSAGES = 400;

    final SplittableRandom random;
    final MembershipInvariants invariants = new MembershipInvariants(this);
    final List<Process> processes = new ArrayList<>();

    /** By address, the addresses that its messages do not reach; no entry if there are none. */
    final Map<String, Set<String>> blockedAddresses = new HashMap<>();

    /** False in networks too large to check each snapshot. */
    boolean checksInvariants = true;

    MembershipSettings settings = MembershipSettings.defaults();
    InjectedFault faults = InjectedFault.NONE;
    double lossRate;
    double duplicationRate;
    double maxDelaySeconds = 0.004;

    /** When the last partition began or healed. */
    double partitionChangedAt = Double.NEGATIVE_INFINITY;

    double now;
    long messagesSent;
    long bytesSent;
    int largestMessageBytes;
    private final Map<String, List<Process>> processesByAddress = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long sequence;

    private record Event(double time, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int comparison = Double.compare(time, other.time);
            return comparison == 0 ? Long.compare(order, other.order) : comparison;
        }
    }

    SimulatedNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    /** A member of the fleet, which may be started again after it has ended. */
    final class Process implements MembershipListener {
        final String name;
        final String address;
        private final String zone;
        private final List<String> seeds;
        private final double clockRate = 0.99 + random.nextDouble() * 0.02;
        private final double clockOffset = random.nextDouble() * 1000;
        private final Deque<Runnable> pausedMessages = new ArrayDeque<>();
        private int starts;
        MembershipProtocol protocol;
        MembershipSnapshot lastSnapshot;

        /** What it has sent, in bytes on the wire. */
        final TrafficCounter outgoing = new TrafficCounter();

        /** What has arrived at it. */
        final TrafficCounter incoming = new TrafficCounter();

        double pausedAt = Double.NaN;
        double lastPause = Double.NEGATIVE_INFINITY;
        double lastResume = Double.NEGATIVE_INFINITY;

        Process(String name, String address, String zone, List<String> seeds) {
            this.name = name;
            this.address = address;
            this.zone = zone;
            this.seeds = seeds;
        }

        boolean isRunning() {
            return protocol != null;
        }

        boolean isPaused() {
            return !Double.isNaN(pausedAt);
        }

        double localTime() {
            return clockOffset + now * clockRate;
        }

        void start() {
            starts++;
            protocol =
                    new MembershipProtocol(
                            settings, name, address, zone, seeds, random.nextLong(), this);
            protocol.inject(faults);
            lastSnapshot = null;
            invariants.onStarted(this);
            protocol.start(localTime());
            scheduleTick(protocol);
        }

        /** Ends the process with all its state. */
        void kill() {
            protocol = null;
            pausedMessages.clear();
            pausedAt = Double.NaN;
        }

        void leave() {
            invariants.onLeaving(this);
            protocol.leave(localTime());
            MembershipProtocol leavingProtocol = protocol;
            scheduleAt(
                    now + 1,
                    () -> {
                        if (protocol == leavingProtocol) {
                            kill();
                        }
                    });
        }

        void pause(double seconds) {
            if (isPaused()) {
                return;
            }
            pausedAt = now;
            lastPause = now;
            MembershipProtocol pausedProtocol = protocol;
            scheduleAt(
                    now + seconds,
                    () -> {
                        if (protocol == pausedProtocol) {
                            pausedAt = Double.NaN;
                            lastResume = now;
                            int order =
                                    random.nextInt(
                                            3); // a view must bear each, the first by seeing a late
                            // tick
                            if (order > 0) {
                                protocol.handleStall(localTime(), seconds * clockRate);
                            }
                            if (order < 2) {
                                protocol.tick(localTime());
                            }
                            while (!pausedMessages.isEmpty() && protocol == pausedProtocol) {
                                pausedMessages.poll().run();
                            }
                            scheduleTick(pausedProtocol);
                        }
                    });
        }

        private void scheduleTick(MembershipProtocol tickedProtocol) {
            double dueAt = tickedProtocol.nextTickAt();
            if (dueAt < Double.POSITIVE_INFINITY) {
                scheduleAt(
                        Math.max(now, (dueAt - clockOffset) / clockRate + 1e-9),
                        () -> {
                            if (protocol == tickedProtocol && !isPaused()) {
                                protocol.tick(localTime());
                                scheduleTick(tickedProtocol);
                            }
                        });
            }
        }

        void receive(String from, GossipMessage message) {
            MembershipProtocol receivingProtocol = protocol;
            if (isPaused()) {
                if (pausedMessages.size() < MAX_PAUSED_MESSAGES) {
                    pausedMessages.add(
                            () -> receivingProtocol.handleMessage(localTime(), from, message));
                }
            } else if (protocol != null) {
                protocol.handleMessage(localTime(), from, message);
            }
        }

        @Override
        public void send(String to, GossipMessage message) {
            messagesSent++;
            bytesSent += message.encodedSize();
            outgoing.add(now, DatagramSize.of(message));
            largestMessageBytes = Math.max(largestMessageBytes, message.encodedSize());
            deliver(address, to, message);
        }

        @Override
        public void membershipChanged(MembershipSnapshot snapshot) {
            if (checksInvariants) {
                invariants.onSnapshot(this, snapshot);
            }
            lastSnapshot = snapshot;
        }

        @Override
        public void log(String line) {
            invariants.logLineCount++;
        }
    }

    Process add(String name, String address, String zone, List<String> seeds) {
        Process process = new Process(name, address, zone, seeds);
        processes.add(process);
        processesByAddress.computeIfAbsent(address, a -> new ArrayList<>()).add(process);
        return process;
    }

    /** Adds a second process with a name that is in use, at another address. */
    Process addWithSameName(String name) {
        return add(name, "10.9.9.9:7400", "z9", List.of(processes.get(0).address));
    }

    /**
     * Adds {@code count} processes, of which the first {@code seeds} are the seeds of all; none is
     * started.
     */
    SimulatedNetwork addFleet(int count, int seeds) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            addresses.add(address(i));
        }
        for (int i = 0; i < count; i++) {
            add("n" + i, address(i), "z" + i % 3, addresses);
        }
        return this;
    }

    /** Starts all processes within this time and waits until they have converged. */
    SimulatedNetwork startAll(double withinSeconds) {
        for (Process process : processes) {
            scheduleAt(now + random.nextDouble() * withinSeconds, process::start);
        }
        double tookSeconds = secondsUntilConverged(withinSeconds + 60);
        if (Double.isNaN(tookSeconds)) {
            throw new AssertionError("not converged after the start\n" + this);
        }
        run(2);
        return this;
    }

    private static String address(int number) {
        return "10.0." + number / 200 + "." + (number % 200 + 1) + ":7400";
    }

    private void deliver(String from, String to, GossipMessage message) {
        if (!blockedAddresses.isEmpty()
                && blockedAddresses.getOrDefault(from, Set.of()).contains(to)) {
            return;
        }
        for (int copies = random.nextDouble() < duplicationRate ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= lossRate) {
                double delay = 0.0002 + random.nextDouble() * maxDelaySeconds;
                scheduleAt(
                        now + (random.nextInt(50) == 0 ? 5 * delay : delay),
                        () -> arrive(from, to, message));
            }
        }
    }

    private void arrive(String from, String to, GossipMessage message) {
        for (Process process : processesByAddress.getOrDefault(to, List.of())) {
            if (process.isRunning()) {
                process.incoming.add(now, DatagramSize.of(message));
                process.receive(from, message);
            }
        }
    }

    /** Blocks messages from one process to another, in this direction only. */
    void block(Process from, Process to) {
        blockedAddresses.computeIfAbsent(from.address, a -> new HashSet<>()).add(to.address);
        partitionChangedAt = now;
    }

    void heal() {
        blockedAddresses.clear();
        partitionChangedAt = now;
    }

    void scheduleAt(double time, Runnable task) {
        events.add(new Event(time, sequence++, task));
    }

    void run(double seconds) {
        double until = now + seconds;
        while (!events.isEmpty() && events.peek().time <= until) {
            Event event = events.poll();
            now = Math.max(now, event.time);
            event.task.run();
        }
        now = until;
    }

    /**
     * Returns the seconds until all running processes agree on who runs; NaN if that takes longer
     * than the maximum.
     */
    double secondsUntilConverged(double maxSeconds) {
        double startedAt = now;
        while (now - startedAt < maxSeconds) {
            run(0.05);
            if (invariants.findDisagreement() == null) {
                return now - startedAt;
            }
        }
        return Double.NaN;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("at " + now + ": " + invariants.findDisagreement());
        for (Process process : processes) {
            text.append('\n').append(process.name).append(process.isRunning() ? " " : " (down) ");
            if (process.protocol != null) {
                MembershipSnapshot snapshot = process.protocol.snapshot();
                text.append(snapshot.self())
                        .append(snapshot.converged() ? " converged" : " not converged");
                for (MembershipSnapshot.MemberView member : snapshot.members()) {
                    text.append("\n    ").append(member.record());
                }
            }
        }
        return text.toString();
    }
}
