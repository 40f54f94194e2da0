package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.ListeningSocketHolder;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against sending on what a client has written once it has closed its connection, however
 * much of it is unread, at one process and at both processes of a replacement.
 */
class DepartedClientTest {
    /** STANDING: an attempt that begins later than 0.1 s is a break; PROTOCOL: 50 ms longer. */
    private static final double MAX_SEND_AFTER_CLOSE_SECONDS = 0.15;

    private static final int CLIENTS = 12;
    private static final int ROUNDS = 3;
    private static final long WORK_MILLIS = 20;
    private static final long OPEN_MILLIS = 200;
    private static final long AFTER_MILLIS = 1500;

    private final Map<String, Long> closedNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final AtomicLong nextQuery = new AtomicLong(1);
    @TempDir private Path folder;
    private StubEngines engines;

    @BeforeEach
    void start() throws IOException {
        engines = new StubEngines(4, this::answer);
    }

    @AfterEach
    void tearDown() throws IOException {
        engines.close();
    }

    private String answer(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        if (call.startsWith("POST")) {
            sentNanos.put(StubEngines.queryId(call), System.nanoTime());
        }
        SocketTestSupport.sleepMillis(WORK_MILLIS);
        return SocketTestSupport.OK;
    }

    /** Writes commands of up to 20 KB, more than the dispatcher processes before the close. */
    @ParameterizedTest
    @CsvSource({
        "close,0,0",
        "reset,0,0",
        "close,3000,0",
        "reset,3000,0",
        "close,0,20000",
        "reset,0,20000"
    })
    void nothingIsSentAfterTheClose(String departure, int emptyQueries, int statementBytes)
            throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, engines.dispatcherConfig());
        try (DispatcherProcess process =
                DispatcherProcess.startWithDeployedOptions(folder.resolve("log"), config)) {
            playAndCheck(process.address(), departure, emptyQueries, statementBytes);
        }
    }

    @ParameterizedTest
    @CsvSource({"close,0,0", "reset,0,0", "close,300,2000"})
    void nothingIsSentAfterTheCloseByEitherProcessOfAReplacement(
            String departure, int emptyQueries, int statementBytes) throws Exception {
        try (ListeningSocketHolder listener = new ListeningSocketHolder(folder)) {
            listener.writeConfig(engines.dispatcherConfig());
            ListeningSocketHolder.InheritingProcess oldProcess = listener.start().awaitReady();
            listener.start().awaitReady();
            Thread replacement =
                    new Thread(
                            () -> {
                                SocketTestSupport.sleepMillis(OPEN_MILLIS);
                                try {
                                    oldProcess.signal("TERM");
                                } catch (IOException | InterruptedException e) {
                                    throw new AssertionError(e);
                                }
                            });
            replacement.start();
            playAndCheck(listener.address(), departure, emptyQueries, statementBytes);
            replacement.join();
        }
    }

    private void playAndCheck(
            InetSocketAddress front, String departure, int emptyQueries, int statementBytes)
            throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            playRound(front, departure, emptyQueries, statementBytes);
        }
        SocketTestSupport.sleepMillis(AFTER_MILLIS);
        List<String> sentLate = new ArrayList<>();
        for (Map.Entry<String, Long> closed : closedNanos.entrySet()) {
            double seconds =
                    (sentNanos.getOrDefault(closed.getKey(), 0L) - closed.getValue()) / 1e9;
            if (seconds > MAX_SEND_AFTER_CLOSE_SECONDS) {
                sentLate.add(closed.getKey() + " after " + seconds + " s");
            }
        }
        System.out.println(
                "departed clients: "
                        + closedNanos.size()
                        + " queries, "
                        + sentNanos.size()
                        + " sent");
        assertTrue(sentNanos.size() > 0, "no query was sent");
        assertTrue(sentNanos.size() < closedNanos.size(), "all queries were sent before the close");
        assertEquals(List.of(), sentLate);
    }

    private void playRound(
            InetSocketAddress front, String departure, int emptyQueries, int statementBytes)
            throws IOException {
        List<Client> clients = new ArrayList<>();
        List<List<String>> ids = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(front).startSession();
            clients.add(client);
            List<String> clientIds = new ArrayList<>();
            ids.add(clientIds);
            SocketTestSupport.startDaemon(
                    () -> writeCommands(client, clientIds, emptyQueries, statementBytes));
        }
        SocketTestSupport.sleepMillis(OPEN_MILLIS);
        for (int i = 0; i < CLIENTS; i++) {
            if (departure.equals("reset")) {
                clients.get(i).socket.setSoLinger(true, 0);
            }
            clients.get(i).close();
            long now = System.nanoTime();
            synchronized (ids.get(i)) {
                ids.get(i).forEach(id -> closedNanos.put(id, now));
            }
        }
    }

    private void writeCommands(
            Client client, List<String> clientIds, int emptyQueries, int statementBytes)
            throws IOException {
        for (int i = 0; i < 100; i++) {
            int number = (int) nextQuery.getAndIncrement();
            synchronized (clientIds) {
                clientIds.add("%016x".formatted(number));
            }
            client.write(
                    Client.queryMessage(
                            SocketTestSupport.query("check", number, 7000)
                                    + " -- "
                                    + "x".repeat(statementBytes)));
            for (int empty = 0; empty < emptyQueries; empty++) {
                client.write(Client.queryMessage(" "));
            }
        }
    }
}
