package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import junipercourse.Client;
import junipercourse.ListeningSocketHolder;
import junipercourse.ListeningSocketHolder.InheritingProcess;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import junipercourse.handover.SharedMemory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against running a query again at the other process of a replacement, and against losing a
 * cancel request that the other process accepts.
 */
class SiblingQueryTest {
    /** STANDING: an attempt that begins later than 0.1 s is a break; PROTOCOL: 50 ms longer. */
    private static final double MAX_CANCEL_SECONDS = 0.15;

    private static final int CLIENTS = 16;
    private static final int IDS = 8;
    private static final int OBSERVED_MILLIS = 1500;
    private static final int TIME_MILLIS = 5000;

    private static final String ONCE_CLASS =
            "\"grades\":[{\"name\":\"note\",\"effect\":\"once\",\"goal_time_s\":1.5,"
                    + "\"deadline_s\":7.5},";

    @TempDir private Path folder;
    private StubEngines engines;
    private ListeningSocketHolder listener;

    @BeforeEach
    void start() throws IOException {
        engines = new StubEngines(1, SiblingQueryTest::answer);
        listener = new ListeningSocketHolder(folder);
        listener.writeConfig(
                engines.dispatcherConfig()
                        .replace("\"class_threads\":[1,2]", "\"class_threads\":[1,2,1]")
                        .replace("\"grades\":[", ONCE_CLASS));
    }

    @AfterEach
    void tearDown() throws IOException {
        listener.close();
        engines.close();
    }

    private static String answer(String call) {
        return call.startsWith("DELETE") ? SocketTestSupport.CANCELLED : SocketTestSupport.RUNNING;
    }

    private static byte[] query(String queryClass) {
        return Client.queryMessage(SocketTestSupport.query(queryClass, 1, 5000));
    }

    /** Begins a query at a process that then leaves all new connections to another process. */
    private Client beginAtReplacedProcess(String queryClass, String signal) throws Exception {
        InheritingProcess oldProcess = listener.start().awaitReady();
        Client client = new Client(listener.address()).startSession();
        client.write(query(queryClass));
        SocketTestSupport.await(() -> engines.countAttempts("") == 1);
        listener.start().awaitReady();
        oldProcess.signal(signal);
        if (signal.equals("TERM")) {
            SocketTestSupport.await(() -> oldProcess.log().contains("shutdown requested"));
        } else {
            oldProcess.awaitExitCode();
        }
        return client;
    }

    /** A query that may be repeated runs again once its attempt has been cancelled. */
    @ParameterizedTest
    @CsvSource({
        "note,TERM,closes,1",
        "note,TERM,waits,1",
        "note,KILL,waits,1",
        "load,KILL,waits,2",
        "check,KILL,waits,2",
        "load,TERM,closes,1",
        "check,TERM,waits,1",
        "check,TERM,closes,2"
    })
    void queryRunsAgainAtTheOtherProcessOnlyIfItMay(
            String queryClass, String signal, String firstClient, int attempts) throws Exception {
        try (Client first = beginAtReplacedProcess(queryClass, signal)) {
            if (firstClient.equals("closes")) {
                first.socket.close();
                SocketTestSupport.await(() -> engines.get(1).countCalls("DELETE") == 1);
                SocketTestSupport.sleepMillis(100); // the answer to the DELETE is read
            }
            try (Client second = new Client(listener.address()).startSession()) {
                second.write(query(queryClass));
                if (attempts == 1) {
                    String answer = second.readAnswer();
                    assertTrue(answer.startsWith("E(55006 req: "), answer);
                }
                SocketTestSupport.await(() -> engines.countAttempts("") >= attempts);
                assertEquals(attempts, engines.countAttempts(""));
            }
        }
    }

    /** Both processes accept from the socket; each gets some of the connections. */
    @Test
    void idWrittenOnManyConnectionsAtOnceRunsOnce() throws Exception {
        listener.start().awaitReady();
        listener.start().awaitReady();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(listener.address()).startSession());
        }
        for (int number = 1; number <= IDS; number++) {
            for (Client client : clients) {
                client.write(
                        Client.queryMessage(SocketTestSupport.query("note", number, TIME_MILLIS)));
            }
        }
        SocketTestSupport.sleepMillis(OBSERVED_MILLIS);
        for (int number = 1; number <= IDS; number++) {
            long attempts = engines.countAttempts("%016x".formatted(number));
            assertTrue(attempts <= 1, "id " + number + " was sent " + attempts + " times");
        }
        assertTrue(engines.countAttempts("") > 0, "no query was sent");
        for (Client client : clients) {
            client.close();
        }
    }

    @Test
    void processServesThoughTheSharedFileCannotBeUsed() throws Exception {
        InheritingProcess first = listener.start().awaitReady();
        Path sharedFile = findSharedFile();
        first.signal("KILL");
        first.awaitExitCode();
        Files.delete(sharedFile);
        Files.createDirectory(sharedFile);
        InheritingProcess second = listener.start().awaitReady();
        try (Client client = new Client(listener.address()).startSession()) {
            client.write(query("check"));
            SocketTestSupport.await(() -> engines.countAttempts("") == 1);
        }
        assertTrue(second.log().contains("are not shared with other processes"), second.log());
    }

    private Path findSharedFile() throws IOException {
        try (Stream<Path> files = Files.walk(listener.tempFolder())) {
            return files.filter(file -> file.endsWith(SharedMemory.FILE_NAME))
                    .findAny()
                    .orElseThrow();
        }
    }

    @Test
    void cancelAcceptedByTheOtherProcessReachesTheQuery() throws Exception {
        try (Client client = beginAtReplacedProcess("check", "TERM")) {
            long cancelledAt = System.nanoTime();
            client.cancel();
            String answer = client.readAnswer();
            double seconds = (System.nanoTime() - cancelledAt) / 1e9;
            assertTrue(answer.startsWith("E(57014 "), answer);
            assertTrue(seconds <= MAX_CANCEL_SECONDS, "cancelled after " + seconds + " s");
            assertEquals(1, engines.countAttempts(""));
        }
    }
}
