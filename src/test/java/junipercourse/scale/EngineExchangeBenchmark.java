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
 * Calls to a stand-in engine by a bare loop of this JVM, each on a connection of its own or all on
 * one: the difference is what a connection for each attempt costs at least. A lead, not the
 * dispatcher's own figure.
 */
final class EngineExchangeBenchmark {
    private static final int BATCHES = 5;
    private static final double NS_IN_US = 1e3;
    private static final byte[] POST =
            ("POST /fetch HTTP/1.1\r\nHost: engine\r\nX-Txn: 1\r\n"
                            + "Content-Length: 8\r\n\r\nSELECT 1")
                    .getBytes(StandardCharsets.ISO_8859_1);
    private final EngineFarm farm;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final ByteBuffer in = ByteBuffer.allocateDirect(1024);
    private final ByteBuffer out = ByteBuffer.allocateDirect(POST.length).put(POST);

    /** One loop's step. */
    private interface EngineCall {
        void run(InetSocketAddress at) throws IOException;
    }

    EngineExchangeBenchmark(EngineFarm farm) {
        this.farm = farm;
    }

    /** Writes the figures; returns the processor time of a bare connection, in microseconds. */
    double measure(ServingHarness bench, int size, int calls) throws IOException {
        double[] bare = new double[BATCHES];
        double[] fresh = new double[BATCHES];
        double[] kept = new double[BATCHES];
        for (int i = -1; i < BATCHES; i++) { // the first warms up
            int batch = Math.max(i, 0);
            bare[batch] = time(calls, at -> SocketChannel.open(at).close());
            fresh[batch] =
                    time(
                            calls,
                            at -> {
                                try (SocketChannel c = SocketChannel.open(at)) {
                                    ask(c);
                                }
                            });
            try (SocketChannel c = SocketChannel.open(farm.address(1))) {
                kept[batch] = time(calls, at -> ask(c));
            }
        }
        bench.add("handshake", size, "bare_connect_close_cpu", "us", "", bare);
        bench.add("handshake", size, "bare_exchange_new_cpu", "us", "", fresh);
        bench.add("handshake", size, "bare_exchange_kept_cpu", "us", "", kept);
        double[] sorted = bare.clone();
        Arrays.sort(sorted);
        return sorted[BATCHES / 2];
    }

    private double time(int calls, EngineCall call) throws IOException {
        long before = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < calls; i++) {
            call.run(farm.address(i));
        }
        return (threads.getCurrentThreadCpuTime() - before) / NS_IN_US / calls;
    }

    private void ask(SocketChannel c) throws IOException {
        out.flip().limit(POST.length);
        c.write(out);
        in.clear();
        while (in.position() == 0
                || in.get(in.position() - 1) != '\n'
                || in.position() < POST.length / 2) {
            if (c.read(in) < 0) {
                throw new IOException("the engine closed");
            }
        }
        out.clear().position(POST.length);
    }
}
