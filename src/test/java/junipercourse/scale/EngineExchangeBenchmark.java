package junipercourse.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Calls a fake engine in a plain loop of this JVM, with a connection for each call or one for all
 * calls. The difference is a lower bound for the cost of a connection for each attempt; it is an
 * indication, not a measurement of the dispatcher itself.
 */
final class EngineExchangeBenchmark {
    private static final int BATCH_COUNT = 5;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final byte[] POST_REQUEST =
            ("POST /fetch HTTP/1.1\r\nHost: engine\r\nX-Txn: 1\r\n"
                            + "Content-Length: 8\r\n\r\nSELECT 1")
                    .getBytes(StandardCharsets.ISO_8859_1);
    private final EngineFarm farm;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final ByteBuffer input = ByteBuffer.allocateDirect(1024);
    private final ByteBuffer output =
            ByteBuffer.allocateDirect(POST_REQUEST.length).put(POST_REQUEST);

    /** One iteration of a measured loop. */
    private interface EngineCall {
        void run(InetSocketAddress address) throws IOException;
    }

    EngineExchangeBenchmark(EngineFarm farm) {
        this.farm = farm;
    }

    /**
     * Writes the metrics; returns the median CPU time of connecting and closing alone, in
     * microseconds.
     */
    double measure(ServingHarness harness, int size, int calls) throws IOException {
        double[] connectOnlyMicros = new double[BATCH_COUNT];
        double[] newConnectionMicros = new double[BATCH_COUNT];
        double[] keptConnectionMicros = new double[BATCH_COUNT];
        // iteration -1 warms up; batch 0 overwrites its values
        for (int i = -1; i < BATCH_COUNT; i++) {
            int batch = Math.max(i, 0);
            connectOnlyMicros[batch] =
                    measureCpuMicros(calls, address -> SocketChannel.open(address).close());
            newConnectionMicros[batch] =
                    measureCpuMicros(
                            calls,
                            address -> {
                                try (SocketChannel channel = SocketChannel.open(address)) {
                                    exchange(channel);
                                }
                            });
            try (SocketChannel channel = SocketChannel.open(farm.address(1))) {
                keptConnectionMicros[batch] = measureCpuMicros(calls, address -> exchange(channel));
            }
        }
        harness.addMetric("handshake", size, "bare_connect_close_cpu", "us", "", connectOnlyMicros);
        harness.addMetric(
                "handshake", size, "bare_exchange_new_cpu", "us", "", newConnectionMicros);
        harness.addMetric(
                "handshake", size, "bare_exchange_kept_cpu", "us", "", keptConnectionMicros);
        double[] sorted = connectOnlyMicros.clone();
        Arrays.sort(sorted);
        return sorted[BATCH_COUNT / 2];
    }

    private double measureCpuMicros(int calls, EngineCall call) throws IOException {
        long startNanos = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < calls; i++) {
            call.run(farm.address(i));
        }
        return (threads.getCurrentThreadCpuTime() - startNanos) / NANOS_PER_MICRO / calls;
    }

    private void exchange(SocketChannel channel) throws IOException {
        output.flip().limit(POST_REQUEST.length);
        channel.write(output);
        input.clear();
        while (input.position() == 0
                || input.get(input.position() - 1) != '\n'
                || input.position() < POST_REQUEST.length / 2) {
            if (channel.read(input) < 0) {
                throw new IOException("the engine closed");
            }
        }
        output.clear().position(POST_REQUEST.length);
    }
}
