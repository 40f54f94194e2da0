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
 * Many views under one virtual clock, on a network that loses, delays, reorders, doubles and cuts
 * as the seed has it. Each process has a clock of its own that drifts by up to 1%; what comes while
 * it is paused waits in a bounded buffer. The {@link InvariantChecker} sees each snapshot.
 */
final class SimulatedNetwork {
    private static final int BUFFER = 400;

    final SplittableRandom random;
    final MembershipInvariants judge = new MembershipInvariants(this);
    final List<Process> processes = new ArrayList<>();

    /** For each address those that its words do not reach; none without any. */
    final Map<String, Set<String>> cuts = new HashMap<>();

    /** False in worlds too large for the judge to hold each snapshot against the truth. */
    boolean judged = true;

    MembershipSettings settings = MembershipSettings.defaults();
    InjectedFault faults = InjectedFault.NONE;
    double loss;
    double doubled;
    double delayMost = 0.004;

    /** When a cut was last made or healed. */
    double cutAt = Double.NEGATIVE_INFINITY;

    double now;
    long words;
    long bytes;
    int largest;
    private final Map<String, List<Process>> places = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long sequence;

    private record Event(double at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Double.compare(at, other.at);
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }

    SimulatedNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    /** A place in the fleet where one process after the other may run. */
    final class Process implements MembershipListener {
        final String name;
        final String address;
        private final String zone;
        private final List<String> seeds;
        private final double rate = 0.99 + random.nextDouble() * 0.02;
        private final double offset = random.nextDouble() * 1000;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private int starts;
        MembershipProtocol view;
        MembershipSnapshot seen;

        /** What it has sent, as the wire counts it. */
        final Traffic sent = new Traffic();

        /** What has reached it. */
        final Traffic read = new Traffic();

        double pausedAt = Double.NaN;
        double lastPause = Double.NEGATIVE_INFINITY;
        double lastResume = Double.NEGATIVE_INFINITY;

        Process(String name, String address, String zone, List<String> seeds) {
            this.name = name;
            this.address = address;
            this.zone = zone;
            this.seeds = seeds;
        }

        boolean runs() {
            return view != null;
        }

        boolean paused() {
            return !Double.isNaN(pausedAt);
        }

        double local() {
            return offset + now * rate;
        }

        void start() {
            starts++;
            view =
                    new MembershipProtocol(
                            settings, name, address, zone, seeds, random.nextLong(), this);
            view.inject(faults);
            seen = null;
            judge.started(this);
            view.start(local());
            sleep(view);
        }

        /** The process is gone, with all that it knew. */
        void kill() {
            view = null;
            waiting.clear();
            pausedAt = Double.NaN;
        }

        void leave() {
            judge.leaves(this);
            view.leave(local());
            MembershipProtocol leaving = view;
            at(
                    now + 1,
                    () -> {
                        if (view == leaving) {
                            kill();
                        }
                    });
        }

        void pause(double seconds) {
            if (paused()) {
                return;
            }
            pausedAt = now;
            lastPause = now;
            MembershipProtocol paused = view;
            at(
                    now + seconds,
                    () -> {
                        if (view == paused) {
                            pausedAt = Double.NaN;
                            lastResume = now;
                            int order =
                                    random.nextInt(
                                            3); // a view must bear each, the first by seeing a late
                            // tick
                            if (order > 0) {
                                view.handleStall(local(), seconds * rate);
                            }
                            if (order < 2) {
                                view.tick(local());
                            }
                            while (!waiting.isEmpty() && view == paused) {
                                waiting.poll().run();
                            }
                            sleep(paused);
                        }
                    });
        }

        private void sleep(MembershipProtocol running) {
            double due = running.nextTickAt();
            if (due < Double.POSITIVE_INFINITY) {
                at(
                        Math.max(now, (due - offset) / rate + 1e-9),
                        () -> {
                            if (view == running && !paused()) {
                                view.tick(local());
                                sleep(running);
                            }
                        });
            }
        }

        void hear(String from, GossipMessage word) {
            MembershipProtocol hearing = view;
            if (paused()) {
                if (waiting.size() < BUFFER) {
                    waiting.add(() -> hearing.handleMessage(local(), from, word));
                }
            } else if (view != null) {
                view.handleMessage(local(), from, word);
            }
        }

        @Override
        public void send(String to, GossipMessage word) {
            words++;
            bytes += word.encodedSize();
            sent.add(now, DatagramSize.of(word));
            largest = Math.max(largest, word.encodedSize());
            deliver(address, to, word);
        }

        @Override
        public void membershipChanged(MembershipSnapshot snapshot) {
            if (judged) {
                judge.saw(this, snapshot);
            }
            seen = snapshot;
        }

        @Override
        public void log(String line) {
            judge.lines++;
        }
    }

    Process add(String name, String address, String zone, List<String> seeds) {
        Process process = new Process(name, address, zone, seeds);
        processes.add(process);
        places.computeIfAbsent(address, a -> new ArrayList<>()).add(process);
        return process;
    }

    /** A second process under a name that is in use, at an address of its own. */
    Process another(String name) {
        return add(name, "10.9.9.9:7400", "z9", List.of(processes.get(0).address));
    }

    /**
     * {@code count} processes, of which the first {@code seeds} are everybody's seeds; none is
     * started.
     */
    SimulatedNetwork fleet(int count, int seeds) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            addresses.add(address(i));
        }
        for (int i = 0; i < count; i++) {
            add("n" + i, address(i), "z" + i % 3, addresses);
        }
        return this;
    }

    /** All started within so many seconds, and settled. */
    SimulatedNetwork started(double within) {
        for (Process process : processes) {
            at(now + random.nextDouble() * within, process::start);
        }
        double took = untilSettled(within + 60);
        if (Double.isNaN(took)) {
            throw new AssertionError("not settled after the start\n" + this);
        }
        run(2);
        return this;
    }

    private static String address(int number) {
        return "10.0." + number / 200 + "." + (number % 200 + 1) + ":7400";
    }

    private void deliver(String from, String to, GossipMessage word) {
        if (!cuts.isEmpty() && cuts.getOrDefault(from, Set.of()).contains(to)) {
            return;
        }
        for (int copies = random.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= loss) {
                double delay = 0.0002 + random.nextDouble() * delayMost;
                at(
                        now + (random.nextInt(50) == 0 ? 5 * delay : delay),
                        () -> arrive(from, to, word));
            }
        }
    }

    private void arrive(String from, String to, GossipMessage word) {
        for (Process process : places.getOrDefault(to, List.of())) {
            if (process.runs()) {
                process.read.add(now, DatagramSize.of(word));
                process.hear(from, word);
            }
        }
    }

    /** Words from one side no longer reach the other; one way only. */
    void cut(Process from, Process to) {
        cuts.computeIfAbsent(from.address, a -> new HashSet<>()).add(to.address);
        cutAt = now;
    }

    void heal() {
        cuts.clear();
        cutAt = now;
    }

    void at(double time, Runnable what) {
        events.add(new Event(time, sequence++, what));
    }

    void run(double seconds) {
        double until = now + seconds;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            event.what.run();
        }
        now = until;
    }

    /**
     * Seconds until all running processes are settled on the same view of who runs; NaN if not in
     * time.
     */
    double untilSettled(double most) {
        double from = now;
        while (now - from < most) {
            run(0.05);
            if (judge.agreed() == null) {
                return now - from;
            }
        }
        return Double.NaN;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("at " + now + ": " + judge.agreed());
        for (Process process : processes) {
            text.append('\n').append(process.name).append(process.runs() ? " " : " (down) ");
            if (process.view != null) {
                MembershipSnapshot snapshot = process.view.snapshot();
                text.append(snapshot.self())
                        .append(snapshot.converged() ? " settled" : " unsettled");
                for (MembershipSnapshot.MemberView each : snapshot.members()) {
                    text.append("\n    ").append(each.record());
                }
            }
        }
        return text.toString();
    }
}
