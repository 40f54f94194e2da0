package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import junipercourse.fleet.transport.DropReason;
import junipercourse.fleet.transport.TransportCounters;

/**
 * Measures one play after the other: counts of all hollow members at its begin, each second and at
 * its end. A play during which the machine was the bound is written as one that does not count.
 */
final class ScenarioRecorder implements Closeable {
    /** Above this a thread or the machine is taken for full. */
    private static final double FULL = 0.85;

    private static final double MB = 1 << 20;

    private final ScaleFleet fleet;
    private final ResultWriter results;
    private final RunLimits guard;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Thread sampler = new Thread(this::sample, "meter");
    private static final double LEAST_WINDOW_S = 0.95;
    private volatile boolean closed;
    private long[] secondBefore;
    private double secondAt;
    private double[] worstSecond;
    private MetricsSample begin;

    /** All that is counted, at one moment. */
    private record MetricsSample(
            double at,
            long[][] counts,
            double[] threadS,
            double[] realS,
            long stalls,
            long bufferErrors,
            long realBufferErrors,
            HostMetrics.CpuTicks machine) {}

    ScenarioRecorder(ScaleFleet fleet, ResultWriter results, RunLimits guard) {
        this.fleet = fleet;
        this.results = results;
        this.guard = guard;
        sampler.setDaemon(true);
    }

    private static long[] counts(TransportCounters t) {
        DropReason[] all = DropReason.values();
        long[] counts = new long[4 + all.length];
        counts[0] = t.sentBytes();
        counts[1] = t.receivedBytes();
        counts[2] = t.sent();
        counts[3] = t.received();
        for (DropReason each : all) {
            counts[4 + each.ordinal()] = t.dropped(each);
        }
        return counts;
    }

    private MetricsSample read() throws IOException {
        long[][] counts =
                fleet.hollow.stream().map(member -> counts(member.tally)).toArray(long[][]::new);
        double[] realS = new double[fleet.real.size()];
        for (int i = 0; i < realS.length; i++) {
            realS[i] = fleet.real.get(i).processorS();
        }
        return new MetricsSample(
                Network.now(),
                counts,
                fleet.threads.stream()
                        .mapToDouble(each -> threads.getThreadCpuTime(each.thread.getId()) / 1e9)
                        .toArray(),
                realS,
                fleet.threads.stream().mapToLong(HollowThread::stalls).sum(),
                HostMetrics.receiveBufferErrors(),
                HostMetrics.receiveBufferErrors(fleet.realCount),
                HostMetrics.processors());
    }

    /** A play begins now. */
    void begin() throws IOException {
        fleet.falselyUnreachable.clear();
        fleet.falseVerdicts.set(0);
        begin = read();
        synchronized (this) {
            worstSecond = new double[fleet.hollow.size()];
            secondBefore = bytesOut();
            secondAt = begin.at;
        }
        if (!sampler.isAlive()) {
            sampler.start();
        }
    }

    private long[] bytesOut() {
        return fleet.hollow.stream().mapToLong(member -> member.tally.sentBytes()).toArray();
    }

    private void sample() {
        try {
            while (!closed) {
                Thread.sleep(1000);
                guard.look(fleet);
                for (HollowThread each : fleet.threads) {
                    if (each.failure() != null) {
                        guard.stop(each.failure());
                    }
                }
                second();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException e) {
            if (!closed) {
                guard.stop("the meter has failed: " + e);
            }
        }
    }

    private synchronized void second() {
        long[] now = bytesOut();
        double at = Network.now();
        if (at - secondAt < LEAST_WINDOW_S) {
            return; // the sampler came soon after a play's begin; less than a second would tell too
            // much
        }
        for (int i = 0; i < now.length; i++) {
            worstSecond[i] = Math.max(worstSecond[i], (now[i] - secondBefore[i]) / (at - secondAt));
        }
        secondBefore = now;
        secondAt = at;
    }

    /** Why the play that began last is no measurement, or an empty text. */
    private String machineWasBound(MetricsSample end, double busiest) {
        List<String> why = new ArrayList<>();
        if (busiest > FULL) {
            why.add("a hollow thread was %.0f%% busy".formatted(busiest * 100));
        }
        double machine = end.machine.busySince(begin.machine);
        if (machine > FULL) {
            why.add("the machine was %.0f%% busy".formatted(machine * 100));
        }
        if (end.bufferErrors > begin.bufferErrors) {
            why.add(
                    (end.bufferErrors - begin.bufferErrors)
                            + " datagrams found a socket's buffer full, "
                            + (end.realBufferErrors - begin.realBufferErrors)
                            + " of them a real member's");
        }
        if (end.stalls > begin.stalls) {
            why.add((end.stalls - begin.stalls) + " stalls of the hollow threads");
        }
        return String.join("; ", why);
    }

    /**
     * The play is over: writes its figures; {@code play} names it in them. Returns how they are
     * written.
     */
    MetricWriter end(String play) throws IOException {
        MetricsSample end = read();
        if (end.at - secondAt > 0.5) {
            second();
        }
        double seconds = end.at - begin.at;
        double[] busy =
                IntStream.range(0, end.threadS.length)
                        .mapToDouble(i -> (end.threadS[i] - begin.threadS[i]) / seconds)
                        .toArray();
        double busiest = DoubleStream.of(busy).max().orElse(0);
        MetricWriter figures = new MetricWriter(play, machineWasBound(end, busiest));
        String[] names = {"bytes_out", "bytes_in", "datagrams_out", "datagrams_in"};
        for (int f = 0; f < names.length; f++) {
            int figure = f;
            figures.spread(
                    names[f],
                    f < 2 ? "B/s" : "datagrams/s",
                    IntStream.range(0, end.counts.length)
                            .mapToDouble(
                                    i ->
                                            (end.counts[i][figure] - begin.counts[i][figure])
                                                    / seconds)
                            .toArray());
        }
        synchronized (this) {
            figures.spread("bytes_out_worst_second", "B/s", worstSecond.clone());
        }
        for (DropReason why : DropReason.values()) {
            int at = 4 + why.ordinal();
            double[] dropped =
                    IntStream.range(0, end.counts.length)
                            .mapToDouble(i -> end.counts[i][at] - begin.counts[i][at])
                            .toArray();
            if (DoubleStream.of(dropped).sum() > 0
                    || why == DropReason.OVER_RATE
                    || why == DropReason.TOO_MANY) {
                figures.spread("dropped_" + why.label(), "datagrams", dropped);
            }
        }
        double hollowS = DoubleStream.of(busy).sum();
        figures.one("cpu", "share of a core", hollowS / fleet.hollow.size());
        figures.one("busiest_thread", "share of a core", busiest);
        figures.one("machine_busy", "share", end.machine.busySince(begin.machine));
        figures.one("window", "s", seconds);
        figures.one("stalls", "stalls", end.stalls - begin.stalls);
        figures.one("rcvbuf_errors", "datagrams", end.bufferErrors - begin.bufferErrors);
        figures.one(
                "rcvbuf_errors_real", "datagrams", end.realBufferErrors - begin.realBufferErrors);
        figures.one("false_unreachable", "members", fleet.falselyUnreachable.size());
        figures.one("false_verdicts", "verdicts", fleet.falseVerdicts.get());
        double[] before = Arrays.copyOf(begin.realS, end.realS.length); // none ran before the start
        figures.spread(
                "cpu_real",
                "share of a core",
                IntStream.range(0, before.length)
                        .mapToDouble(i -> (end.realS[i] - before[i]) / seconds)
                        .toArray());
        figures.spread("resident_real", "MB", realMb());
        return figures;
    }

    private double[] realMb() throws IOException {
        double[] all = new double[fleet.real.size()];
        for (int i = 0; i < all.length; i++) {
            all[i] = fleet.real.get(i).residentMb();
        }
        return all;
    }

    /**
     * Heap in use after a collection, in MB. The collection is a stall: nothing is measured during
     * it.
     */
    static double heapMb() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / MB;
    }

    /** Writes figures of one play, as ones that count or with the reason why not. */
    final class MetricWriter {
        private final String play;
        private final String why;

        private MetricWriter(String play, String why) {
            this.play = play;
            this.why = why;
        }

        void one(String figure, String unit, double value) {
            write(figure, unit, value, value, 1, why);
        }

        /** One that does not count, for a reason beyond the machine's. */
        void invalid(String figure, String unit, double value, String reason) {
            write(figure, unit, value, value, 1, why.isEmpty() ? reason : reason + "; " + why);
        }

        void spread(String figure, String unit, double[] values) {
            if (values.length > 0) {
                double[] both = ResultWriter.medianAndWorst(values);
                write(figure, unit, both[0], both[1], values.length, why);
            }
        }

        private void write(
                String figure, String unit, double median, double worst, int count, String reason) {
            if (reason.isEmpty()) {
                results.add(play, fleet.size, figure, unit, median, worst, count);
            } else {
                results.addInvalid(play, fleet.size, figure, unit, median, worst, count, reason);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        sampler.interrupt();
    }
}
