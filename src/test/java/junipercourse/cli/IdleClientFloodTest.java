package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Idle clients fill the descriptors of the whole process, as the operating system counts them. The
 * system's own limit is far above the configured one, so that an exceeded bound shows and is not
 * enforced by the system.
 */
class IdleClientFloodTest {
    private static final int CONFIGURED_LIMIT = 608;
    private static final int ENFORCED_LIMIT = 2048;

    /**
     * Beside the shares and the descriptors at rest: two connects to the event bus, files being
     * read.
     */
    private static final int TRANSIENT_DESCRIPTORS = 4;

    private static final int IDLE_CLIENTS = 900;
    private static final int ENGINES = 16;
    private static final int HELD_QUERIES = 170;
    private static final int ROUNDS = 24;
    private static final long SEED = 608;
    private static final String MEMBER =
            """
            {"id":"s-%08x","host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,
            "phase":"Ready","size":12.0,"up_since_ms":0}\
            """;
    private static final Pattern PEAKS =
            Pattern.compile("most_engines=(\\d+)/(\\d+) most_clients=(\\d+)/(\\d+)");

    @TempDir private Path folder;
    private final List<StubEngine> engines = new ArrayList<>();
    private final List<SocketChannel> idleChannels = new ArrayList<>();
    private final AtomicBoolean finished = new AtomicBoolean();
    private DispatcherProcess process;

    @AfterEach
    void tearDown() throws IOException {
        finished.set(true);
        if (process != null) {
            process.close();
        }
        for (SocketChannel channel : idleChannels) {
            channel.close();
        }
        for (StubEngine engine : engines) {
            engine.close();
        }
    }

    private InetSocketAddress start() throws IOException {
        for (int i = 0; i < ENGINES; i++) {
            engines.add(
                    new StubEngine(
                            call -> {
                                SocketTestSupport.sleepMillis(250);
                                return call.startsWith("DELETE")
                                        ? SocketTestSupport.CANCELLED
                                        : SocketTestSupport.RUNNING;
                            }));
        }
        String members =
                IntStream.range(0, engines.size())
                        .mapToObj(i -> MEMBER.formatted(i + 1, engines.get(i).address().getPort()))
                        .collect(Collectors.joining(","));
        Files.writeString(
                folder.resolve("config.json"),
                SocketTestSupport.CONFIG
                        .replace("\"sockets\":1024", "\"sockets\":" + CONFIGURED_LIMIT)
                        .replace(
                                "\"offset\":0,\"batch\":[]",
                                "\"offset\":7,\"batch\":[{\"offset\":7,\"topology\":"
                                        + "{\"complete\":true,\"members\":["
                                        + members
                                        + "]}}]"));
        process = new DispatcherProcess(folder, ENFORCED_LIMIT);
        return process.address();
    }

    /** Connects one more silent client; it may still be waiting in the accept queue. */
    private static SocketChannel connectIdle(InetSocketAddress frontAddress) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(frontAddress);
        return channel;
    }

    private static boolean isClosed(SocketChannel channel) {
        try {
            return channel.finishConnect() && channel.read(ByteBuffer.allocate(256)) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /**
     * Replaces the channels that the program closed and a few in ten others, half of these by a
     * reset.
     */
    private void replaceChannels(InetSocketAddress frontAddress, Random random, int leavingPerTen)
            throws IOException {
        for (int i = 0; i < idleChannels.size(); i++) {
            boolean leaves = random.nextInt(10) < leavingPerTen;
            if (leaves || isClosed(idleChannels.get(i))) {
                if (leaves && random.nextBoolean()) {
                    idleChannels.get(i).setOption(StandardSocketOptions.SO_LINGER, 0);
                }
                idleChannels.get(i).close();
                idleChannels.set(i, connectIdle(frontAddress));
            }
        }
    }

    /**
     * However many clients connect, reset and reconnect while queries hold connections to engines,
     * the process holds its descriptors at rest, the clients' share and its connections to engines.
     * Clients that are not accepted yet use no descriptor of the process, though they see
     * themselves connected, so the client side may count more than {@code CONFIGURED_LIMIT}. The
     * program's own peak of clients may exceed the share by a few, since a closed client counts
     * until its task has run, and its place may be reused before that.
     */
    @Test
    void idleFloodStaysWithinDescriptorShares() throws Exception {
        InetSocketAddress frontAddress = start();
        int atRest = process.countDescriptors();
        AtomicInteger maxDescriptors = new AtomicInteger();
        AtomicInteger sampleCount = new AtomicInteger();
        SocketTestSupport.startDaemon(
                () -> {
                    while (!finished.get()) {
                        maxDescriptors.accumulateAndGet(process.countDescriptors(), Math::max);
                        sampleCount.incrementAndGet();
                        SocketTestSupport.sleepMillis(2);
                    }
                });
        List<Client> heldClients = new ArrayList<>();
        for (int i = 1; i <= HELD_QUERIES; i++) {
            Client client = new Client(frontAddress).startSession();
            client.write(Client.queryMessage(SocketTestSupport.query("check", i, 7000)));
            heldClients.add(client);
        }
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            idleChannels.add(connectIdle(frontAddress));
        }
        Random random = new Random(SEED);
        long maxConnected = 0; // connections as the clients count them, also those not accepted
        for (int round = 0; round < ROUNDS; round++) {
            replaceChannels(frontAddress, random, new int[] {0, 1, 5, 10}[round % 4]);
            SocketTestSupport.sleepMillis(150);
            maxConnected =
                    Math.max(
                            maxConnected,
                            idleChannels.stream()
                                    .filter(client -> !isClosed(client) && client.isConnected())
                                    .count());
        }
        for (Client client : heldClients) {
            client.close(); // each open query is cancelled by its own engine call
        }
        replaceChannels(frontAddress, random, 10);
        SocketTestSupport.sleepMillis(500);
        finished.set(true);
        for (SocketChannel client : idleChannels) {
            client.close();
        }
        process.signal("TERM");
        assertTrue(process.exitsWithin(10), process.log());
        Matcher peaks = PEAKS.matcher(process.log());
        assertTrue(peaks.find(), process.log());
        int engineConnections = Integer.parseInt(peaks.group(1));
        int clientShare = Integer.parseInt(peaks.group(4));
        String summary =
                "seed "
                        + SEED
                        + ": "
                        + maxDescriptors
                        + " descriptors of "
                        + CONFIGURED_LIMIT
                        + ", "
                        + atRest
                        + " at rest, "
                        + peaks.group()
                        + ", "
                        + maxConnected
                        + " idle clients connected, "
                        + sampleCount
                        + " samples";
        System.out.println("idle flood: " + summary);
        assertTrue(
                Integer.parseInt(peaks.group(3)) >= clientShare,
                "idle clients did not fill the share; " + summary);
        assertTrue(maxConnected > clientShare, "no client was left unaccepted; " + summary);
        assertTrue(
                engineConnections > HELD_QUERIES / 2,
                "too few queries reached an engine; " + summary);
        assertTrue(
                maxDescriptors.get()
                        <= atRest + TRANSIENT_DESCRIPTORS + engineConnections + clientShare,
                summary);
        assertTrue(maxDescriptors.get() < CONFIGURED_LIMIT, summary);
        assertFalse(process.log().contains("accept failed"), process.log());
    }
}
