package junipercourse.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import junipercourse.Client;
import junipercourse.ScriptedBus;
import junipercourse.SocketTestSupport;
import junipercourse.scale.ProcessMetrics.CpuTime;
import junipercourse.scale.ServingHarness.DispatcherSpec;
import junipercourse.scale.ServingHarness.RunningDispatcher;

/**
 * Measures the cost of endpoint list updates: changes of one engine, one by one and in a burst, and
 * full lists.
 */
final class EndpointListBenchmark {
    private static final int RECORD_BYTES = 27;
    private static final int HEADER_BYTES = 9;
    private static final int FULL_LIST_KIND = 1;
    private static final int CHANGES_KIND = 2;
    private static final int READY_STATE = 0;
    private static final int DRAINING_STATE = 1;
    private static final double MICROS = 1e6;
    private static final int TABLE_GROUPS = 64;
    private static final long EMPTY_FRAME_MILLIS = 500; // longer counts as a silent bus
    private final ServingHarness harness;
    private final int engines;
    private long lastEventNumber = 1; // the list known at start is event 1

    EndpointListBenchmark(ServingHarness harness, int engines) {
        this.harness = harness;
        this.engines = engines;
    }

    /**
     * Sends {@code events} events one by one at {@code perSecond}, then as a burst in one write,
     * then {@code fullLists} full lists.
     */
    void measure(int events, int perSecond, int fullLists, double rate, double seconds)
            throws Exception {
        try (ScriptedBus bus = new ScriptedBus();
                RunningDispatcher dispatcher =
                        harness.start(DispatcherSpec.of(engines).bus(bus.address())).awaitReady();
                Client client = new Client(dispatcher.address()).startSession()) {
            Socket watchSocket = bus.acceptSubscription();
            SocketTestSupport.startDaemon(
                    () -> {
                        while (true) {
                            SocketTestSupport.sleepMillis(EMPTY_FRAME_MILLIS);
                            ByteBuffer emptyFrame =
                                    ByteBuffer.allocate(Integer.BYTES + HEADER_BYTES)
                                            .putInt(HEADER_BYTES);
                            watchSocket.getOutputStream().write(emptyFrame.array());
                        }
                    });
            sendPaced(watchSocket, events / 2, perSecond); // warms up
            awaitAllEvents(client);
            double startSeconds = dispatcher.ageSeconds();
            CpuTime cpuBefore = dispatcher.metrics.readCpuTime();
            SocketTestSupport.sleepMillis((long) (seconds * 1000));
            double idleLoopCpu =
                    dispatcher.metrics.readCpuTime().since(cpuBefore).loop()
                            / (dispatcher.ageSeconds() - startSeconds);

            measureCost(
                    dispatcher,
                    client,
                    idleLoopCpu,
                    "cpu_per_event",
                    events,
                    () -> sendPaced(watchSocket, events, perSecond));
            measureCost(
                    dispatcher,
                    client,
                    idleLoopCpu,
                    "cpu_per_event_in_burst",
                    events,
                    () -> sendBurst(watchSocket, events));
            measureCost(
                    dispatcher,
                    client,
                    idleLoopCpu,
                    "cpu_per_whole_list",
                    fullLists,
                    () -> {
                        for (int i = 0; i < fullLists; i++) {
                            watchSocket.getOutputStream().write(fullListFrame());
                            SocketTestSupport.sleepMillis(1000L / perSecond);
                        }
                    });
            measureUnderLoad(dispatcher, watchSocket, rate, seconds);
        }
    }

    /**
     * Writes the total CPU time per event, which includes the JIT compiler, and that of the event
     * loop alone, less its idle CPU time.
     */
    private void measureCost(
            RunningDispatcher dispatcher,
            Client client,
            double idleLoopCpu,
            String metric,
            int count,
            SocketTestSupport.IoTask task)
            throws IOException {
        double startSeconds = dispatcher.ageSeconds();
        CpuTime cpuBefore = dispatcher.metrics.readCpuTime();
        task.run();
        awaitAllEvents(client);
        CpuTime cpuSpent = dispatcher.metrics.readCpuTime().since(cpuBefore);
        harness.addMetric("list", engines, metric, "us", "", cpuSpent.total() * MICROS / count);
        harness.addMetric(
                "list",
                engines,
                metric + "_loop",
                "us",
                "",
                (cpuSpent.loop() - idleLoopCpu * (dispatcher.ageSeconds() - startSeconds))
                        * MICROS
                        / count);
    }

    /**
     * Measures the same queries without and with concurrent events, since each event also makes the
     * queries after it more expensive.
     */
    private void measureUnderLoad(
            RunningDispatcher dispatcher, Socket watchSocket, double rate, double seconds)
            throws Exception {
        new ConstantRateLoad(dispatcher.address(), rate, seconds / 2, TABLE_GROUPS); // warms up
        CpuTime cpuBefore = dispatcher.metrics.readCpuTime();
        ConstantRateLoad loadWithoutEvents =
                new ConstantRateLoad(dispatcher.address(), rate, seconds, TABLE_GROUPS);
        CpuTime cpuWithoutEvents = dispatcher.metrics.readCpuTime().since(cpuBefore);
        int events = (int) Math.max(1, seconds * rate / 2);
        Thread eventSender =
                new Thread(
                        () -> {
                            try {
                                sendPaced(watchSocket, events, (int) (rate / 2));
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        });
        cpuBefore = dispatcher.metrics.readCpuTime();
        eventSender.start();
        ConstantRateLoad loadWithEvents =
                new ConstantRateLoad(dispatcher.address(), rate, seconds, TABLE_GROUPS);
        eventSender.join();
        CpuTime cpuWithEvents = dispatcher.metrics.readCpuTime().since(cpuBefore);
        String reason = loadWithoutEvents.invalidReason(rate) + loadWithEvents.invalidReason(rate);
        harness.addMetric(
                "list",
                engines,
                "cpu_per_query_without_events_loop",
                "us",
                reason,
                cpuWithoutEvents.loop() * MICROS / Math.max(1, loadWithoutEvents.served.get()));
        harness.addMetric(
                "list",
                engines,
                "cpu_per_query_with_events_loop",
                "us",
                reason,
                cpuWithEvents.loop() * MICROS / Math.max(1, loadWithEvents.served.get()));
        harness.addMetric(
                "list",
                engines,
                "cpu_per_event_under_load_loop",
                "us",
                reason,
                (cpuWithEvents.loop() - cpuWithoutEvents.loop()) * MICROS / events);
    }

    private void sendPaced(Socket watchSocket, int events, int perSecond) throws IOException {
        long startNanos = System.nanoTime();
        for (int i = 0; i < events; i++) {
            long waitNanos = startNanos + i * 1_000_000_000L / perSecond - System.nanoTime();
            SocketTestSupport.sleepMillis(Math.max(0, waitNanos / 1_000_000));
            watchSocket.getOutputStream().write(changeFrame());
        }
    }

    private void sendBurst(Socket watchSocket, int events) throws IOException {
        ByteBuffer frames =
                ByteBuffer.allocate(events * (Integer.BYTES + HEADER_BYTES + RECORD_BYTES));
        for (int i = 0; i < events; i++) {
            frames.put(changeFrame());
        }
        watchSocket.getOutputStream().write(frames.array());
    }

    /**
     * Round-robin over the engines: one event makes an engine draining, the next makes it ready
     * again.
     */
    private byte[] changeFrame() throws IOException {
        lastEventNumber++;
        ByteBuffer frame = frame(CHANGES_KIND, 1);
        putRecord(
                frame,
                (int) (lastEventNumber / 2 % engines) + 1,
                lastEventNumber % 2 == 0 ? DRAINING_STATE : READY_STATE);
        return frame.array();
    }

    private byte[] fullListFrame() throws IOException {
        lastEventNumber++;
        ByteBuffer frame = frame(FULL_LIST_KIND, engines);
        for (int id = 1; id <= engines; id++) {
            putRecord(frame, id, READY_STATE);
        }
        return frame.array();
    }

    private ByteBuffer frame(int kind, int records) {
        int length = HEADER_BYTES + RECORD_BYTES * records;
        return ByteBuffer.allocate(Integer.BYTES + length)
                .putInt(length)
                .putLong(lastEventNumber)
                .put((byte) kind);
    }

    private void putRecord(ByteBuffer frame, int id, int state) throws IOException {
        InetSocketAddress address = harness.farm.address(id);
        frame.putInt(id)
                .put(address.getAddress().getAddress())
                .putShort((short) address.getPort())
                .put((byte) state)
                .put((byte) 0)
                .put((byte) 0)
                .putShort((short) 0)
                .putInt(12_000)
                .putLong(0);
    }

    /** Waits until the dispatcher has processed all events. Event 1 is the list known at start. */
    private void awaitAllEvents(Client client) throws IOException {
        long endNanos = System.nanoTime() + 20_000_000_000L;
        while (RunningDispatcher.readCounter(client, "roster events") < lastEventNumber) {
            if (System.nanoTime() > endNanos) {
                throw new IOException("the dispatcher did not process all events within 20 s");
            }
            SocketTestSupport.sleepMillis(5);
        }
        for (int i = 0; i < 2; i++) {
            client.query("SHOW COUNTERS"); // runs before the queued handling of the events
        }
    }
}
