package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Stream;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against clients that keep the dispatcher from answering others, or make it use more memory
 * than it may have. The dispatcher is a process with the deploy file's options.
 */
class HostileClientTest {
    private static final int USUAL_CLIENTS = 6;
    private static final int ENGINES = 4;
    private static final long WORK_MILLIS = 50;

    /** The goal time of the usual clients' class in the configuration. */
    private static final double MAX_ANSWER_SECONDS = 1.5;

    /** {@code memory_mb} of the configuration. */
    private static final long MAX_RESIDENT_BYTES = 192L << 20;

    private static final long BEFORE_MILLIS = 300;
    private static final long TROUBLE_MILLIS = 3000;
    private static final long AFTER_MILLIS = 500;

    /** Nearly a third of the descriptors, which is what clients may open. */
    private static final int MANY_CLIENTS = 320;

    private static final int BATCH_BYTES = 60_000;
    private static final int LARGE_TEXT_BYTES = 62_000;
    private static final int SLOW_PIECE_BYTES = 2000;
    private static final long SLOW_PIECE_MILLIS = 60;
    private static final byte[] NOTHING = {};

    /** Type and length of a query of nearly 64 KB. */
    private static final byte[] PG_QUERY_START = {'Q', 0, 0, (byte) 0xff, 0};

    /** Length and protocol version of a packet of nearly 10,000 bytes. */
    private static final byte[] STARTUP_START = {0, 0, 0x27, 0, 0, 3, 0, 0};

    /** No start-up packet: the dispatcher closes the connection. */
    private static final byte[] HTTP_REQUEST = "GET / HTTP/1.1".getBytes(StandardCharsets.US_ASCII);

    /** With the key of no session. */
    private static final byte[] CANCEL_REQUEST = {
        0, 0, 0, 16, 4, (byte) 0xd2, 22, 46, 0, 0, 0, 1, 0, 0, 0, 1
    };

    private static final byte[] ENCRYPTION_REQUEST = {0, 0, 0, 8, 4, (byte) 0xd2, 22, 47};

    @TempDir private Path folder;
    private StubEngines engines;
    private DispatcherProcess process;

    @BeforeEach
    void start() throws IOException {
        engines = new StubEngines(ENGINES, HostileClientTest::answer);
        Path config = folder.resolve("config.json");
        Files.writeString(config, engines.dispatcherConfig());
        process = DispatcherProcess.startWithDeployedOptions(folder.resolve("log"), config);
    }

    private static String answer(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        SocketTestSupport.sleepMillis(WORK_MILLIS);
        return SocketTestSupport.OK;
    }

    @AfterEach
    void tearDown() throws IOException {
        process.close();
        engines.close();
    }

    private static String head(String queryClass, String id, String tenant, String key) {
        return "/* kind=%s,req=%s,timeout=1,owner=%s,opkey=%s,subject=%s */ SELECT 1"
                .formatted(queryClass, id, tenant, key, key);
    }

    static Stream<Arguments> hostileClients() {
        return Stream.of(
                halfMessage("half of a message of many", PG_QUERY_START, LARGE_TEXT_BYTES / 2),
                halfMessage("half of a start-up packet of many", STARTUP_START, 5000),
                Arguments.of(
                        "slow writers of many",
                        new HostileClients.Load(
                                MANY_CLIENTS,
                                concatenate(Client.startupMessage(), PG_QUERY_START),
                                () -> new byte[SLOW_PIECE_BYTES],
                                SLOW_PIECE_MILLIS)),
                many("empty queries", 1, 0, number -> " "),
                many("text that is no request", 1, 0, number -> "SELECT 1"),
                many("status tables", 1, 0, number -> "SHOW COUNTERS"),
                many("new classes", 1, 0, n -> head("c" + n, hex(n), "acme", hex(n))),
                many("new tenants", 1, 0, n -> head("check", hex(n), "t" + n, hex(n))),
                many("new ids", 1, 0, n -> head("check", hex(n), "acme", hex(n))),
                many("new keys", 1, 0, n -> head("load", hex(n), "acme", hex(n))),
                many("table names", 1, 0, HostileClientTest::tableNames),
                many("empty queries of many", MANY_CLIENTS, 0, number -> " "),
                many("short fields of many", MANY_CLIENTS, 250, n -> shortFields()),
                many("table names of many", MANY_CLIENTS, 250, HostileClientTest::tableNames),
                many(
                        "expired queries of many",
                        MANY_CLIENTS,
                        250,
                        n -> head("check", hex(n), "acme", hex(n))),
                Arguments.of(
                        "connections closed at once of many",
                        new HostileClients.Load(
                                MANY_CLIENTS, HTTP_REQUEST, () -> NOTHING, TROUBLE_MILLIS)),
                Arguments.of(
                        "cancel requests of many",
                        new HostileClients.Load(
                                MANY_CLIENTS, CANCEL_REQUEST, () -> NOTHING, TROUBLE_MILLIS)),
                Arguments.of(
                        "requests for encryption",
                        new HostileClients.Load(1, NOTHING, () -> ENCRYPTION_REQUEST, 0)));
    }

    /** Clients that stop in the middle of a message. */
    private static Arguments halfMessage(String name, byte[] start, int bytes) {
        byte[] sent = Arrays.copyOf(start, start.length + bytes);
        byte[] first = start == STARTUP_START ? sent : concatenate(Client.startupMessage(), sent);
        return Arguments.of(
                name, new HostileClients.Load(MANY_CLIENTS, first, () -> NOTHING, TROUBLE_MILLIS));
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        byte[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    private static String hex(long number) {
        return "%016x".formatted(number + 1);
    }

    private static String large(String repeated) {
        return repeated.repeat(LARGE_TEXT_BYTES / repeated.length());
    }

    private static String shortFields() {
        StringBuilder fields = new StringBuilder("/* a=1");
        for (int i = 0; fields.length() < LARGE_TEXT_BYTES; i++) {
            fields.append(',').append(Integer.toString(i, Character.MAX_RADIX)).append('=');
        }
        return fields.append(" */ SELECT 1").toString();
    }

    private static String tableNames(long number) {
        return head("check", hex(number), "acme", hex(number)).replace("SELECT 1", "")
                + large("a.b,");
    }

    private interface StatementSource {
        String next(long number);
    }

    /** Clients that write statements, as many at once as fill a batch. */
    private static Arguments many(
            String name, int count, long intervalMillis, StatementSource statements) {
        AtomicLong number = new AtomicLong();
        Supplier<byte[]> batches =
                () -> {
                    ByteArrayOutputStream batch = new ByteArrayOutputStream();
                    do {
                        batch.writeBytes(
                                Client.queryMessage(statements.next(number.getAndIncrement())));
                    } while (intervalMillis == 0 && batch.size() < BATCH_BYTES);
                    return batch.toByteArray();
                };
        return Arguments.of(
                name,
                new HostileClients.Load(count, Client.startupMessage(), batches, intervalMillis));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("hostileClients")
    void othersAreServedInTimeWithinTheMemory(String name, HostileClients.Load load)
            throws Exception {
        UsualClients usual = new UsualClients(process.address(), USUAL_CLIENTS);
        SocketTestSupport.sleepMillis(BEFORE_MILLIS);
        long sentBytes;
        try (HostileClients hostile = new HostileClients(process.address(), load)) {
            SocketTestSupport.sleepMillis(TROUBLE_MILLIS);
            sentBytes = hostile.sentBytes();
        }
        SocketTestSupport.sleepMillis(AFTER_MILLIS);
        usual.close();
        assertTrue(process.isAlive(), process.log());

        List<String> notServed =
                usual.answers().stream()
                        .filter(answer -> !answer.isServed())
                        .map(Record::toString)
                        .toList();
        String summary =
                "%s: %d MB sent; %d answers, longest %.3f s, %d not served; at most %d MB resident"
                        .formatted(
                                name,
                                sentBytes >> 20,
                                usual.answers().size(),
                                usual.longestSeconds(),
                                notServed.size(),
                                process.peakResidentBytes() >> 20);
        System.out.println("hostile clients: " + summary);
        assertEquals(List.of(), notServed, summary);
        assertTrue(usual.longestSeconds() < MAX_ANSWER_SECONDS, summary);
        assertTrue(process.peakResidentBytes() < MAX_RESIDENT_BYTES, summary);
    }
}
