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
 * Measures one scenario after another from the counters of all hollow members at its start, every
 * second and at its end. If the machine was the bottleneck during a scenario, its metrics are
 * written as not valid.
 */
final class ScenarioRecorder implements Closeable {
    /** Above this share a thread or the machine counts as saturated. */
    private static final double MAX_VALID_BUSY_SHARE = 0.85;

    private static final double BYTES_PER_MB = 1 << 20;

    private final ScaleFleet fleet;
    private final ResultWriter results;
    private final RunLimits limits;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Thread sampler = new Thread(this::runSampler, "meter");
    private static final double MIN_WINDOW_SECONDS = 0.95;
    private volatile boolean closed;
    private long[] lastSentBytes;
    private double lastSampleSeconds;
    private double[] maxBytesPerSecond;
    private MetricsSample startSample;

    /** All counters at one moment. */
    private record MetricsSample(
            double takenAtSeconds,
            long[][] counts,
            double[] threadCpuSeconds,
            double[] realMemberCpuSeconds,
            long stalls,
            long bufferErrors,
            long realMemberBufferErrors,
            HostMetrics.CpuTicks hostCpu) {}

    ScenarioRecorder(ScaleFleet fleet, ResultWriter results, RunLimits limits) {
        this.fleet = fleet;
        this.results = results;
        this.limits = limits;
        sampler.setDaemon(true);
    }

    private static long[] toCounts(TransportCounters counters) {
        DropReason[] reasons = DropReason.values();
        long[] counts = new long[4 + reasons.length];
        counts[0] = counters.sentBytes();
        counts[1] = counters.receivedBytes();
        counts[2] = counters.sent();
        counts[3] = counters.received();
        for (DropReason reason : reasons) {
            counts[4 + reason.ordinal()] = counters.dropped(reason);
        }
        return counts;
    }

    private MetricsSample takeSample() throws IOException {
        long[][] counts =
                fleet.hollow.stream()
                        .map(member -> toCounts(member.transportCounters))
                        .toArray(long[][]::new);
        double[] realMemberCpuSeconds = new double[fleet.realMembers.size()];
        for (int i = 0; i < realMemberCpuSeconds.length; i++) {
            realMemberCpuSeconds[i] = fleet.realMembers.get(i).cpuSeconds();
        }
        return new MetricsSample(
                Network.nowSeconds(),
                counts,
                fleet.threads.stream()
                        .mapToDouble(
                                hollowThread ->
                                        threads.getThreadCpuTime(hollowThread.thread.getId()) / 1e9)
                        .toArray(),
                realMemberCpuSeconds,
                fleet.threads.stream().mapToLong(HollowThread::stalls).sum(),
                HostMetrics.receiveBufferErrors(),
                HostMetrics.receiveBufferErrors(fleet.realCount),
                HostMetrics.readCpuTicks());
    }

    /** Starts the measurement of a scenario. */
    void beginScenario() throws IOException {
        fleet.falselyUnreachable.clear();
        fleet.falseVerdicts.set(0);
        startSample = takeSample();
        synchronized (this) {
            maxBytesPerSecond = new double[fleet.hollow.size()];
            lastSentBytes = readSentBytes();
            lastSampleSeconds = startSample.takenAtSeconds;
        }
        if (!sampler.isAlive()) {
            sampler.start();
        }
    }

    private long[] readSentBytes() {
        return fleet.hollow.stream()
                .mapToLong(member -> member.transportCounters.sentBytes())
                .toArray();
    }

    private void runSampler() {
        try {
            while (!closed) {
                Thread.sleep(1000);
                limits.checkUsage(fleet);
                for (HollowThread hollowThread : fleet.threads) {
                    if (hollowThread.failure() != null) {
                        limits.abort(hollowThread.failure());
                    }
                }
                sampleSecond();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException e) {
            if (!closed) {
                limits.abort("the meter has failed: " + e);
            }
        }
    }

    private synchronized void sampleSecond() {
        long[] sentBytes = readSentBytes();
        double nowSeconds = Network.nowSeconds();
        if (nowSeconds - lastSampleSeconds < MIN_WINDOW_SECONDS) {
            return; // right after a scenario's start: a short window would overstate the rate
        }
        for (int i = 0; i < sentBytes.length; i++) {
            maxBytesPerSecond[i] =
                    Math.max(
                            maxBytesPerSecond[i],
                            (sentBytes[i] - lastSentBytes[i]) / (nowSeconds - lastSampleSeconds));
        }
        lastSentBytes = sentBytes;
        lastSampleSeconds = nowSeconds;
    }

    /** Returns why the current scenario is not a valid measurement, or an empty string. */
    private String findInvalidReason(MetricsSample endSample, double busiestShare) {
        List<String> reasons = new ArrayList<>();
        if (busiestShare > MAX_VALID_BUSY_SHARE) {
            reasons.add("a hollow thread was %.0f%% busy".formatted(busiestShare * 100));
        }
        double hostBusyShare = endSample.hostCpu.busyShareSince(startSample.hostCpu);
        if (hostBusyShare > MAX_VALID_BUSY_SHARE) {
            reasons.add("the machine was %.0f%% busy".formatted(hostBusyShare * 100));
        }
        if (endSample.bufferErrors > startSample.bufferErrors) {
            reasons.add(
                    (endSample.bufferErrors - startSample.bufferErrors)
                            + " datagrams found a socket's buffer full, "
                            + (endSample.realMemberBufferErrors
                                    - startSample.realMemberBufferErrors)
                            + " of them a real member's");
        }
        if (endSample.stalls > startSample.stalls) {
            reasons.add((endSample.stalls - startSample.stalls) + " stalls of the hollow threads");
        }
        return String.join("; ", reasons);
    }

    /**
     * Ends the measurement and writes its metrics under the name {@code scenario}. Returns the
     * writer for further metrics of the scenario.
     */
    MetricWriter endScenario(String scenario) throws IOException {
        MetricsSample endSample = takeSample();
        if (endSample.takenAtSeconds - lastSampleSeconds > 0.5) {
            sampleSecond();
        }
        double seconds = endSample.takenAtSeconds - startSample.takenAtSeconds;
        double[] busyShares =
                IntStream.range(0, endSample.threadCpuSeconds.length)
                        .mapToDouble(
                                i ->
                                        (endSample.threadCpuSeconds[i]
                                                        - startSample.threadCpuSeconds[i])
                                                / seconds)
                        .toArray();
        double busiestShare = DoubleStream.of(busyShares).max().orElse(0);
        MetricWriter metrics =
                new MetricWriter(scenario, findInvalidReason(endSample, busiestShare));
        String[] names = {"bytes_out", "bytes_in", "datagrams_out", "datagrams_in"};
        for (int column = 0; column < names.length; column++) {
            int countIndex = column;
            metrics.addMedianAndWorst(
                    names[column],
                    column < 2 ? "B/s" : "datagrams/s",
                    IntStream.range(0, endSample.counts.length)
                            .mapToDouble(
                                    i ->
                                            (endSample.counts[i][countIndex]
                                                            - startSample.counts[i][countIndex])
                                                    / seconds)
                            .toArray());
        }
        synchronized (this) {
            metrics.addMedianAndWorst("bytes_out_worst_second", "B/s", maxBytesPerSecond.clone());
        }
        for (DropReason reason : DropReason.values()) {
            int countIndex = 4 + reason.ordinal();
            double[] dropped =
                    IntStream.range(0, endSample.counts.length)
                            .mapToDouble(
                                    i ->
                                            endSample.counts[i][countIndex]
                                                    - startSample.counts[i][countIndex])
                            .toArray();
            if (DoubleStream.of(dropped).sum() > 0
                    || reason == DropReason.OVER_RATE
                    || reason == DropReason.TOO_MANY) {
                metrics.addMedianAndWorst("dropped_" + reason.label(), "datagrams", dropped);
            }
        }
        double totalBusyShare = DoubleStream.of(busyShares).sum();
        metrics.addValue("cpu", "share of a core", totalBusyShare / fleet.hollow.size());
        metrics.addValue("busiest_thread", "share of a core", busiestShare);
        metrics.addValue(
                "machine_busy", "share", endSample.hostCpu.busyShareSince(startSample.hostCpu));
        metrics.addValue("window", "s", seconds);
        metrics.addValue("stalls", "stalls", endSample.stalls - startSample.stalls);
        metrics.addValue(
                "rcvbuf_errors", "datagrams", endSample.bufferErrors - startSample.bufferErrors);
        metrics.addValue(
                "rcvbuf_errors_real",
                "datagrams",
                endSample.realMemberBufferErrors - startSample.realMemberBufferErrors);
        metrics.addValue("false_unreachable", "members", fleet.falselyUnreachable.size());
        metrics.addValue("false_verdicts", "verdicts", fleet.falseVerdicts.get());
        double[] realSecondsBefore =
                Arrays.copyOf(
                        startSample.realMemberCpuSeconds,
                        endSample
                                .realMemberCpuSeconds
                                .length); // padded with 0: no real member ran before the scenario
        // "start"
        metrics.addMedianAndWorst(
                "cpu_real",
                "share of a core",
                IntStream.range(0, realSecondsBefore.length)
                        .mapToDouble(
                                i ->
                                        (endSample.realMemberCpuSeconds[i] - realSecondsBefore[i])
                                                / seconds)
                        .toArray());
        metrics.addMedianAndWorst("resident_real", "MB", readRealResidentMb());
        return metrics;
    }

    private double[] readRealResidentMb() throws IOException {
        double[] residentMb = new double[fleet.realMembers.size()];
        for (int i = 0; i < residentMb.length; i++) {
            residentMb[i] = fleet.realMembers.get(i).residentMb();
        }
        return residentMb;
    }

    /**
     * Heap in use after a garbage collection, in MB. The collection stalls all threads, so call
     * this outside of measurements.
     */
    static double measureHeapMb() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / BYTES_PER_MB;
    }

    /** Writes the metrics of one scenario, as valid or with the reason why they are not. */
    final class MetricWriter {
        private final String scenario;
        private final String invalidReason;

        private MetricWriter(String scenario, String invalidReason) {
            this.scenario = scenario;
            this.invalidReason = invalidReason;
        }

        void addValue(String metric, String unit, double value) {
            write(metric, unit, value, value, 1, invalidReason);
        }

        /**
         * Writes a metric that is not valid for {@code reason}, whatever the load of the machine
         * was.
         */
        void addInvalid(String metric, String unit, double value, String reason) {
            write(
                    metric,
                    unit,
                    value,
                    value,
                    1,
                    invalidReason.isEmpty() ? reason : reason + "; " + invalidReason);
        }

        void addMedianAndWorst(String metric, String unit, double[] values) {
            if (values.length > 0) {
                double[] medianAndWorst = ResultWriter.medianAndWorst(values);
                write(
                        metric,
                        unit,
                        medianAndWorst[0],
                        medianAndWorst[1],
                        values.length,
                        invalidReason);
            }
        }

        private void write(
                String metric, String unit, double median, double worst, int count, String reason) {
            if (reason.isEmpty()) {
                results.add(scenario, fleet.size, metric, unit, median, worst, count);
            } else {
                results.addInvalid(
                        scenario, fleet.size, metric, unit, median, worst, count, reason);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        sampler.interrupt();
    }
}
