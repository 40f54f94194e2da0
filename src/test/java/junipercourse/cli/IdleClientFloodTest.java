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
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Idle clients fill the descriptors of the whole process, by the system's count. The system's own
 * limit lies far above the configured one, so that a bound that does not hold shows and is not
 * enforced for us.
 */
class IdleClientFloodTest {
    private static final int LIMIT = 608;
    private static final int ENFORCED = 2048;

    /**
     * Beside the shares and what is held at rest: two dials to the event bus, files that are read.
     */
    private static final int PASSING = 4;

    private static final int CROWD = 900;
    private static final int ENGINES = 16;
    private static final int HELD = 170;
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
    private final List<SocketTestSupport.StubEngine> engines = new ArrayList<>();
    private final List<SocketChannel> crowd = new ArrayList<>();
    private final AtomicBoolean over = new AtomicBoolean();
    private DispatcherProcess process;

    @AfterEach
    void end() throws IOException {
        over.set(true);
        if (process != null) {
            process.close();
        }
        for (SocketChannel c : crowd) {
            c.close();
        }
        for (SocketTestSupport.StubEngine e : engines) {
            e.close();
        }
    }

    private InetSocketAddress start() throws IOException {
        for (int i = 0; i < ENGINES; i++) {
            engines.add(
                    new SocketTestSupport.StubEngine(
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
                        .replace("\"sockets\":1024", "\"sockets\":" + LIMIT)
                        .replace(
                                "\"offset\":0,\"batch\":[]",
                                "\"offset\":7,\"batch\":[{\"offset\":7,\"topology\":"
                                        + "{\"complete\":true,\"members\":["
                                        + members
                                        + "]}}]"));
        process = new DispatcherProcess(folder, ENFORCED);
        return process.address();
    }

    /** One more that says nothing; it may still be on its way to the accept queue. */
    private static SocketChannel idle(InetSocketAddress front) throws IOException {
        SocketChannel c = SocketChannel.open();
        c.configureBlocking(false);
        c.connect(front);
        return c;
    }

    private static boolean gone(SocketChannel c) {
        try {
            return c.finishConnect() && c.read(ByteBuffer.allocate(256)) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /**
     * Replaces those that the program has ended, and a few in ten others, half of these by a reset.
     */
    private void renew(InetSocketAddress front, Random random, int inTen) throws IOException {
        for (int i = 0; i < crowd.size(); i++) {
            boolean leaves = random.nextInt(10) < inTen;
            if (leaves || gone(crowd.get(i))) {
                if (leaves && random.nextBoolean()) {
                    crowd.get(i).setOption(StandardSocketOptions.SO_LINGER, 0);
                }
                crowd.get(i).close();
                crowd.set(i, idle(front));
            }
        }
    }

    /**
     * However many connect, reset and come again while queries hold connections to engines, the
     * process holds what it holds at rest, its clients' share and what is open to engines. Those
     * that wait unaccepted have no descriptor here, though their clients see them connected: from
     * there over {@code LIMIT} may be counted. The program's own peak of clients may tell a few
     * more than the share, since one that is closed counts until its task has run, and its place
     * may be taken before that.
     */
    @Test
    void aCrowdOfIdleClientsStaysWithinTheShares() throws Exception {
        InetSocketAddress front = start();
        int atRest = process.countDescriptors();
        AtomicInteger most = new AtomicInteger();
        AtomicInteger looks = new AtomicInteger();
        SocketTestSupport.startDaemon(
                () -> {
                    while (!over.get()) {
                        most.accumulateAndGet(process.countDescriptors(), Math::max);
                        looks.incrementAndGet();
                        SocketTestSupport.sleepMillis(2);
                    }
                });
        List<Client> held = new ArrayList<>();
        for (int i = 1; i <= HELD; i++) {
            Client c = new Client(front).startSession();
            c.write(Client.queryMessage(SocketTestSupport.query("check", i, 7000)));
            held.add(c);
        }
        for (int i = 0; i < CROWD; i++) {
            crowd.add(idle(front));
        }
        Random random = new Random(SEED);
        long outside =
                0; // connections of the crowd as its own side counts them, also those not accepted
        for (int round = 0; round < ROUNDS; round++) {
            renew(front, random, new int[] {0, 1, 5, 10}[round % 4]);
            SocketTestSupport.sleepMillis(150);
            outside =
                    Math.max(
                            outside,
                            crowd.stream().filter(c -> !gone(c) && c.isConnected()).count());
        }
        for (Client c : held) {
            c.close(); // each query that is out is given up by a call of its own
        }
        renew(front, random, 10);
        SocketTestSupport.sleepMillis(500);
        over.set(true);
        for (SocketChannel c : crowd) {
            c.close();
        }
        process.signal("TERM");
        assertTrue(process.exitsWithin(10), process.log());
        Matcher peaks = PEAKS.matcher(process.log());
        assertTrue(peaks.find(), process.log());
        int toEngines = Integer.parseInt(peaks.group(1));
        int clients = Integer.parseInt(peaks.group(4));
        String told =
                "seed "
                        + SEED
                        + ": "
                        + most
                        + " descriptors of "
                        + LIMIT
                        + ", "
                        + atRest
                        + " at rest, "
                        + peaks.group()
                        + ", "
                        + outside
                        + " of the crowd connected, "
                        + looks
                        + " looks";
        System.out.println("crowd: " + told);
        assertTrue(
                Integer.parseInt(peaks.group(3)) >= clients,
                "the crowd did not fill the share; " + told);
        assertTrue(outside > clients, "none waited unaccepted; " + told);
        assertTrue(toEngines > HELD / 2, "too few queries reached an engine; " + told);
        assertTrue(most.get() <= atRest + PASSING + toEngines + clients, told);
        assertTrue(most.get() < LIMIT, told);
        assertFalse(process.log().contains("accept failed"), process.log());
    }
}
