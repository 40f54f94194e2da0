package junipercourse.decision;

import junipercourse.decision.DispatchApi.Engine;
import junipercourse.decision.DispatchApi.EngineId;
import junipercourse.decision.DispatchApi.QueryClass;
import junipercourse.decision.DispatchApi.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the module remembers. Nothing is decided here and no value is tuned here: see {@link Dispatcher}. */
final class State {
    private State() { }

    /** What is known of an engine. */
    static final class Node {
        final EngineId id;
        final Map<Float, Integer> loads = new HashMap<>();
        final Set<Attempt> silent = new LinkedHashSet<>();
        Engine entry;
        boolean back, ejected, failing, probing;
        int out, faults, breaks;
        double cores, memoryMb, threads, mb, others, slow, lastSign, trialAt, coldCredit, coldAt;
        double peerThreads, peerMb, trialGap, overlong;
        double coldFrom = Double.NEGATIVE_INFINITY, wordAt = Double.NEGATIVE_INFINITY;
        double answeredAt = Double.NEGATIVE_INFINITY;
        double silentFrom = Double.NEGATIVE_INFINITY;

        Node(EngineId id) {
            this.id = id;
        }

        void take(Job job, double grantMb) {
            out++;
            threads += job.c.threads();
            mb += grantMb;
            if (job.c.load()) {
                loads.merge(job.r.tableGroup(), 1, Integer::sum);
            }
        }

        void drop(Attempt a) {
            out--;
            silent.remove(a);
            threads = out == 0 ? 0 : threads - a.job.c.threads();
            mb = out == 0 ? 0 : mb - a.mb;
            if (a.job.c.load()) {
                loads.computeIfPresent(a.job.r.tableGroup(), (k, v) -> v > 1 ? v - 1 : null);
            }
        }
    }

    /** A request in hand. */
    static final class Job {
        final Map<Integer, Attempt> ends = new LinkedHashMap<>();
        final List<Node> few = new ArrayList<>();
        final Request r;
        final QueryClass c;
        final ClassView view;
        final double takenAt, dice;
        final long seq;
        final boolean over;
        Attempt run, firstRan;
        int tries, errors;
        boolean restart, closed, streaming, guilty;
        Node avoid, blamed;
        double rank, lookAt = Double.POSITIVE_INFINITY, waitUntil;

        Job(Request r, ClassView view, double takenAt, long seq, boolean over,
                double dice) {
            this.dice = dice;
            this.r = r;
            this.c = view.c;
            this.view = view;
            this.takenAt = takenAt;
            this.seq = seq;
            this.over = over;
        }
    }

    /** One attempt that is out; {@code at} is the engine as listed when it was sent. */
    static final class Attempt {
        final Job job;
        final Node node;
        final Engine at;
        final int index;
        final boolean first;
        double sentAt, mb, expected, foretold;
        boolean cancelled, spilled, overlong;

        Attempt(Job job, Node node) {
            this.job = job;
            this.node = node;
            this.at = node.entry;
            this.index = job.tries++;
            this.first = !node.back;
        }
    }

    /** What is known of a class: its latency, its samples for the cutoff, how much of it is started. */
    static final class ClassView {
        final QueryClass c;
        final ProductLimit tail;
        double logPace = Double.NaN, logUnit = Double.NaN, tryTook = Double.NaN, restartTook = Double.NaN;
        double work = Double.NaN;
        double cutoff, arrivals, asked, started, logGrant;

        ClassView(QueryClass c, int samples, double logGrant) {
            this.c = c;
            this.tail = new ProductLimit(samples);
            this.logGrant = logGrant;
            this.cutoff = c.deadline();
        }

        /** What came a while ago counts for less. */
        void fade(double part) {
            arrivals *= part;
            asked *= part;
            started *= part;
        }
    }

    /** Threads and memory of what is out, weighed by time: what runs long is met more often. */
    static final class Mix {
        private double querySeconds = 0.1, threadSeconds = 0.2, mbSeconds;

        void add(double time, int threads, double mb, double gain) {
            querySeconds += time - gain * querySeconds;
            threadSeconds += time * threads - gain * threadSeconds;
            mbSeconds += time * mb - gain * mbSeconds;
        }

        double threadsEach() {
            return threadSeconds / querySeconds;
        }

        double mbPerThread() {
            return mbSeconds / threadSeconds;
        }
    }
}
