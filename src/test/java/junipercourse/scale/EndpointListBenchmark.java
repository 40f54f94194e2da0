package junipercourse.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import junipercourse.ScriptedBus;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.scale.ProcessMetrics.CpuTime;
import junipercourse.scale.ServingHarness.DispatcherSpec;
import junipercourse.scale.ServingHarness.RunningDispatcher;

/**
 * What news of the engine list cost: changes of one engine, one by one and in a burst, and whole
 * lists.
 */
final class EndpointListBenchmark {
    private static final int RECORD = 27;
    private static final int HEAD = 9;
    private static final int WHOLE = 1;
    private static final int CHANGES = 2;
    private static final int READY = 0;
    private static final int DRAINING = 1;
    private static final double US = 1e6;
    private static final int GROUPS = 64;
    private static final long EMPTY_MS =
            500; // between empty frames: the bus counts as silent without
    private final ServingHarness bench;
    private final int engines;
    private long number = 1; // of the last event that is told

    EndpointListBenchmark(ServingHarness bench, int engines) {
        this.bench = bench;
        this.engines = engines;
    }

    /**
     * So many events one by one, as many a second; a burst of them in one write; so many whole
     * lists.
     */
    void measure(int events, int perSecond, int wholes, double rate, double seconds)
            throws Exception {
        try (ScriptedBus bus = new ScriptedBus();
                RunningDispatcher r =
                        bench.start(DispatcherSpec.of(engines).bus(bus.address())).ready();
                Client c = new Client(r.front()).startSession()) {
            Socket watch = bus.acceptSubscription();
            SocketTestSupport.startDaemon(
                    () -> {
                        while (true) {
                            SocketTestSupport.sleepMillis(EMPTY_MS);
                            ByteBuffer empty =
                                    ByteBuffer.allocate(Integer.BYTES + HEAD).putInt(HEAD);
                            watch.getOutputStream().write(empty.array());
                        }
                    });
            paced(watch, events / 2, perSecond); // warms up
            told(c);
            double began = r.age();
            CpuTime before = r.figures.cpu();
            SocketTestSupport.sleepMillis((long) (seconds * 1000));
            double idle = r.figures.cpu().since(before).loop() / (r.age() - began);

            cost(r, c, idle, "cpu_per_event", events, () -> paced(watch, events, perSecond));
            cost(r, c, idle, "cpu_per_event_in_burst", events, () -> burst(watch, events));
            cost(
                    r,
                    c,
                    idle,
                    "cpu_per_whole_list",
                    wholes,
                    () -> {
                        for (int i = 0; i < wholes; i++) {
                            watch.getOutputStream().write(whole());
                            SocketTestSupport.sleepMillis(1000L / perSecond);
                        }
                    });
            underLoad(r, watch, rate, seconds);
        }
    }

    /** In all, with what the compiler took, and of the loop alone, less what it takes at rest. */
    private void cost(
            RunningDispatcher r,
            Client c,
            double idle,
            String figure,
            int count,
            SocketTestSupport.IoTask task)
            throws IOException {
        double began = r.age();
        CpuTime before = r.figures.cpu();
        task.run();
        told(c);
        CpuTime spent = r.figures.cpu().since(before);
        bench.add("list", engines, figure, "us", "", spent.all() * US / count);
        bench.add(
                "list",
                engines,
                figure + "_loop",
                "us",
                "",
                (spent.loop() - idle * (r.age() - began)) * US / count);
    }

    /**
     * The same queries without and with events beside them, since each event also costs the next
     * queries.
     */
    private void underLoad(RunningDispatcher r, Socket watch, double rate, double seconds)
            throws Exception {
        new ConstantRateLoad(r.front(), rate, seconds / 2, GROUPS); // warms up
        CpuTime before = r.figures.cpu();
        ConstantRateLoad alone = new ConstantRateLoad(r.front(), rate, seconds, GROUPS);
        CpuTime without = r.figures.cpu().since(before);
        int events = (int) Math.max(1, seconds * rate / 2);
        Thread news =
                new Thread(
                        () -> {
                            try {
                                paced(watch, events, (int) (rate / 2));
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        });
        before = r.figures.cpu();
        news.start();
        ConstantRateLoad beside = new ConstantRateLoad(r.front(), rate, seconds, GROUPS);
        news.join();
        CpuTime with = r.figures.cpu().since(before);
        String why = alone.why(rate) + beside.why(rate);
        bench.add(
                "list",
                engines,
                "cpu_per_query_without_events_loop",
                "us",
                why,
                without.loop() * US / Math.max(1, alone.served.get()));
        bench.add(
                "list",
                engines,
                "cpu_per_query_with_events_loop",
                "us",
                why,
                with.loop() * US / Math.max(1, beside.served.get()));
        bench.add(
                "list",
                engines,
                "cpu_per_event_under_load_loop",
                "us",
                why,
                (with.loop() - without.loop()) * US / events);
    }

    private void paced(Socket watch, int events, int perSecond) throws IOException {
        long begun = System.nanoTime();
        for (int i = 0; i < events; i++) {
            long wait = begun + i * 1_000_000_000L / perSecond - System.nanoTime();
            SocketTestSupport.sleepMillis(Math.max(0, wait / 1_000_000));
            watch.getOutputStream().write(change());
        }
    }

    private void burst(Socket watch, int events) throws IOException {
        ByteBuffer all = ByteBuffer.allocate(events * (Integer.BYTES + HEAD + RECORD));
        for (int i = 0; i < events; i++) {
            all.put(change());
        }
        watch.getOutputStream().write(all.array());
    }

    /** Each engine in turn starts to drain, and is back with the next event. */
    private byte[] change() throws IOException {
        number++;
        ByteBuffer out = frame(CHANGES, 1);
        record(out, (int) (number / 2 % engines) + 1, number % 2 == 0 ? DRAINING : READY);
        return out.array();
    }

    private byte[] whole() throws IOException {
        number++;
        ByteBuffer out = frame(WHOLE, engines);
        for (int id = 1; id <= engines; id++) {
            record(out, id, READY);
        }
        return out.array();
    }

    private ByteBuffer frame(int kind, int records) {
        int length = HEAD + RECORD * records;
        return ByteBuffer.allocate(Integer.BYTES + length)
                .putInt(length)
                .putLong(number)
                .put((byte) kind);
    }

    private void record(ByteBuffer out, int id, int state) throws IOException {
        InetSocketAddress at = bench.farm.address(id);
        out.putInt(id)
                .put(at.getAddress().getAddress())
                .putShort((short) at.getPort())
                .put((byte) state)
                .put((byte) 0)
                .put((byte) 0)
                .putShort((short) 0)
                .putInt(12_000)
                .putLong(0);
    }

    /** Waits until all events have been taken in: the list that was known is the first. */
    private void told(Client c) throws IOException {
        long end = System.nanoTime() + 20_000_000_000L;
        while (RunningDispatcher.count(c, "roster events") < number) {
            if (System.nanoTime() > end) {
                throw new IOException("events were not taken in");
            }
            SocketTestSupport.sleepMillis(5);
        }
        for (int i = 0; i < 2; i++) {
            c.query("SHOW COUNTERS"); // they are counted before the module's turn, which is queued
            // behind
        }
    }
}
