package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Stops or floods the whole process under load; its engines check that it keeps the protocol's
 * rules.
 */
class RecoveryTest {
    private static final String MEMBER =
            """
            {"id":"s-%08x","host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,
            "phase":"Ready","size":12.0,"up_since_ms":0}\
            """;
    private static final int MAX_IDLE_SESSIONS = 40;
    private static final int KEYS = 3;
    private static final long KEY_GAP_MILLIS = 80;
    private static final double IN_TIME_SECONDS = 1.0;
    private static final double CLOSE_CROSSING_SECONDS = 0.05;

    @TempDir private Path folder;
    private final List<RuleCheckingEngine> engines = new ArrayList<>();
    private DispatcherProcess process;
    private InetSocketAddress frontAddress;

    @AfterEach
    void tearDown() throws Exception {
        if (process != null) {
            process.close();
        }
        for (RuleCheckingEngine engine : engines) {
            engine.stub.close();
        }
    }

    private void start(int count, int sockets, RuleChecker rules) throws IOException {
        List<String> members = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            RuleCheckingEngine engine = new RuleCheckingEngine(rules);
            engines.add(engine);
            members.add(MEMBER.formatted(i, engine.stub.address().getPort()));
        }
        Files.writeString(
                folder.resolve("config.json"),
                SocketTestSupport.CONFIG
                        .replace(",\"bus\":\"127.0.0.1:1\"", "")
                        .replace("\"sockets\":1024", "\"sockets\":" + sockets)
                        .replace(
                                "\"offset\":0,\"batch\":[]",
                                "\"offset\":7,\"batch\":[{\"offset\":7,\"topology\":"
                                        + "{\"complete\":true,\"members\":["
                                        + String.join(",", members)
                                        + "]}}]"));
        process = new DispatcherProcess(folder, sockets);
        frontAddress = process.address();
    }

    /** Records the violations of the protocol's rules that the engines observe. */
    private static final class RuleChecker {
        final List<String> violations = new CopyOnWriteArrayList<>();
        private final Map<String, Long> keyOf = new ConcurrentHashMap<>();
        private final Map<String, Integer> numberOf = new ConcurrentHashMap<>();
        private final Map<Long, Integer> lastSent = new ConcurrentHashMap<>();
        private final Map<String, RuleCheckingEngine> runningAt = new ConcurrentHashMap<>();
        private final Map<Long, String> runningQueryOfKey = new ConcurrentHashMap<>();
        private int writtenCount;

        /** Registers a query of a key that is sent now; returns its id. */
        synchronized String recordWritten(long key) {
            writtenCount++;
            String id = "%016x".formatted(writtenCount);
            keyOf.put(id, key);
            numberOf.put(id, writtenCount);
            return id;
        }

        synchronized void recordStart(String id, RuleCheckingEngine engine) {
            RuleCheckingEngine runningEngine = runningAt.put(id, engine);
            if (runningEngine != null) {
                violations.add("two attempts of " + id);
            }
            long key = keyOf.getOrDefault(id, 0L);
            if (key == 0) {
                return;
            }
            String runningQuery = runningQueryOfKey.put(key, id);
            if (runningQuery != null && !runningQuery.equals(id)) {
                violations.add(
                        "order: "
                                + id
                                + " was sent while "
                                + runningQuery
                                + " of the same key runs");
            }
            int number = numberOf.get(id);
            if (lastSent.getOrDefault(key, 0) > number) {
                violations.add("order: " + id + " was sent after a later one of its key");
            }
            lastSent.merge(key, number, Math::max);
        }

        synchronized void recordEnd(String id) {
            runningAt.remove(id);
            runningQueryOfKey.remove(keyOf.getOrDefault(id, 0L), id);
        }
    }

    /**
     * Runs each query for 30 ms, answers its polls, and drops a query that has not been polled for
     * 2 s.
     */
    private static final class RuleCheckingEngine {
        private static final long WORK_MILLIS = 30;
        final StubEngine stub;
        private final RuleChecker rules;
        private final Map<String, Long> endsAtMillis = new ConcurrentHashMap<>();
        private final Map<String, Long> polledAtMillis = new ConcurrentHashMap<>();

        RuleCheckingEngine(RuleChecker rules) throws IOException {
            this.rules = rules;
            stub = new StubEngine(this::answer);
            SocketTestSupport.startDaemon(
                    () -> {
                        while (true) {
                            SocketTestSupport.sleepMillis(10);
                            sweep(System.currentTimeMillis());
                        }
                    });
        }

        private synchronized void sweep(long now) {
            polledAtMillis.forEach(
                    (id, timeMillis) -> {
                        if (now - timeMillis > 2000) {
                            polledAtMillis.remove(id);
                            endsAtMillis.remove(id);
                            rules.recordEnd(id);
                        }
                    });
            endsAtMillis.forEach(
                    (id, timeMillis) -> {
                        if (now >= timeMillis) {
                            rules.recordEnd(id);
                        }
                    });
        }

        private String answer(String call) {
            String[] words = call.split(" ");
            boolean isPost = words[0].equals("POST");
            String id = isPost ? words[2] : words[1].split("/")[2];
            synchronized (this) {
                long now = System.currentTimeMillis();
                sweep(now);
                if (isPost) {
                    rules.recordStart(id, this);
                    endsAtMillis.put(id, now + WORK_MILLIS);
                }
                if (!endsAtMillis.containsKey(id)) {
                    return SocketTestSupport.FAILED;
                }
                polledAtMillis.put(id, now);
                if (words[0].equals("DELETE")) {
                    endsAtMillis.remove(id);
                    polledAtMillis.remove(id);
                    rules.recordEnd(id);
                    return SocketTestSupport.CANCELLED;
                }
            }
            SocketTestSupport.sleepMillis(
                    Math.max(1, endsAtMillis.getOrDefault(id, 0L) - System.currentTimeMillis()));
            synchronized (this) {
                sweep(System.currentTimeMillis());
                return endsAtMillis.containsKey(id)
                        ? SocketTestSupport.OK
                        : SocketTestSupport.FAILED;
            }
        }
    }

    /** One query: when it was sent, its answer and how long that took. */
    private record CompletedRequest(double sentAt, String answer, double elapsedSeconds) {}

    private record IdleSession(Client client, double idleSince) {}

    /**
     * Sends queries at random times, some with keys, each on its own session, half of them opened
     * before.
     */
    private final class LoadGenerator {
        final List<CompletedRequest> answers = new CopyOnWriteArrayList<>();
        final List<String> lostAnswers = new CopyOnWriteArrayList<>();
        private final ExecutorService executor = Executors.newCachedThreadPool();
        private final Deque<IdleSession> idleSessions = new ConcurrentLinkedDeque<>();
        private final long startNanos = System.nanoTime();
        private int sentCount;

        double now() {
            return (System.nanoTime() - startNanos) / 1e9;
        }

        void run(RuleChecker rules, long seed, double seconds) throws Exception {
            Random random = new Random(seed);
            long[] keyFreeAtMillis = new long[KEYS + 1];
            while (now() < seconds) {
                SocketTestSupport.sleepMillis(5 + random.nextInt(20));
                int keyIndex = random.nextInt(2 * KEYS);
                long key =
                        keyIndex < KEYS
                                        && System.currentTimeMillis()
                                                >= keyFreeAtMillis[keyIndex + 1]
                                ? keyIndex + 1
                                : 0;
                Client idleClient = takeIdleSession();
                boolean isNewSession = idleClient == null;
                Client client = isNewSession ? new Client(frontAddress) : idleClient;
                String id = rules.recordWritten(key);
                keyFreeAtMillis[(int) key] =
                        System.currentTimeMillis() + (isNewSession ? 4 : 1) * KEY_GAP_MILLIS;
                String sql =
                        "/* kind=%s,req=%s,timeout=2500,owner=acme%s */ SELECT 1"
                                .formatted(
                                        key == 0 ? "check" : "load",
                                        id,
                                        key == 0
                                                ? ""
                                                : ",opkey=k"
                                                        + id
                                                        + ",subject="
                                                        + "%016x".formatted(key));
                double sentAt = now();
                sentCount++;
                byte[] query = Client.queryMessage(sql);
                try {
                    client.write(
                            isNewSession ? concatenate(Client.startupMessage(), query) : query);
                    executor.execute(() -> awaitAnswer(client, isNewSession, sentAt));
                } catch (IOException e) { // closed just now: the query was not read
                    answers.add(new CompletedRequest(sentAt, "not written", 0));
                }
            }
            executor.shutdown();
            assertTrue(
                    executor.awaitTermination(12, TimeUnit.SECONDS), "queries without an answer");
        }

        private byte[] concatenate(byte[] first, byte[] second) {
            return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
        }

        /**
         * Returns an idle session half of the time. Clients close sessions that were idle for long
         * themselves.
         */
        private Client takeIdleSession() throws IOException {
            while (!idleSessions.isEmpty()
                    && (idleSessions.size() > MAX_IDLE_SESSIONS
                            || idleSessions.peek().idleSince < now() - 3.5
                            || idleSessions.peek().client.socket.getInputStream().available()
                                    > 0)) { // closed by the dispatcher
                idleSessions.poll().client.close();
            }
            return sentCount % 2 == 0 && !idleSessions.isEmpty()
                    ? idleSessions.poll().client
                    : null;
        }

        /** As clients do: closes the session if no answer comes in time. */
        private void awaitAnswer(Client client, boolean isNewSession, double sentAt) {
            String answer;
            try {
                client.socket.setSoTimeout(3000);
                answer =
                        isNewSession
                                ? client.readAnswer() + client.readAnswer()
                                : client.readAnswer();
                idleSessions.add(new IdleSession(client, now()));
            } catch (IOException e) {
                answer = "none " + e;
                try {
                    client.close();
                } catch (IOException closeFailure) {
                    answer += closeFailure;
                }
            }
            double elapsedSeconds = now() - sentAt;
            boolean closed =
                    answer.isEmpty()
                            || answer.contains("57P05")
                            || answer.contains("SocketException");
            if (closed
                    && !isNewSession
                    && elapsedSeconds > CLOSE_CROSSING_SECONDS) { // else clients resend it
                lostAnswers.add(
                        "after %.3f s, written at %.3f: %s"
                                .formatted(elapsedSeconds, sentAt, answer));
            }
            answers.add(new CompletedRequest(sentAt, answer, elapsedSeconds));
        }

        double fractionInTime(double start, double end) {
            List<CompletedRequest> selected =
                    answers.stream().filter(a -> a.sentAt >= start && a.sentAt < end).toList();
            long inTimeCount =
                    selected.stream()
                            .filter(
                                    a ->
                                            a.answer.startsWith("T D(a b c)")
                                                    && a.elapsedSeconds < IN_TIME_SECONDS)
                            .count();
            return selected.isEmpty() ? 0 : (double) inTimeCount / selected.size();
        }
    }

    /**
     * The process is stopped and continues: no key order is broken, no query runs twice at once,
     * each has one answer, and two seconds later at least 0.9 as many are answered in time.
     */
    @ParameterizedTest
    @CsvSource({"0.2, 1, 512", "1, 2, 512", "3, 3, 512", "2.5, 4, 160"})
    void stallBreaksNoRuleAndServiceRecoversInTwoSeconds(
            double stallSeconds, long seed, int sockets) throws Exception {
        RuleChecker rules = new RuleChecker();
        start(4, sockets, rules);
        LoadGenerator load = new LoadGenerator();
        double stopSeconds = 2.5;
        SocketTestSupport.startDaemon(
                () -> {
                    try {
                        SocketTestSupport.sleepMillis((long) (stopSeconds * 1000));
                        process.signal("STOP");
                        SocketTestSupport.sleepMillis((long) (stallSeconds * 1000));
                        process.signal("CONT");
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                });
        load.run(rules, seed, stopSeconds + stallSeconds + 4);
        double inTimeBefore = load.fractionInTime(0.5, stopSeconds - 0.3);
        double inTimeAfter =
                load.fractionInTime(stopSeconds + stallSeconds + 2, stopSeconds + stallSeconds + 4);
        double inTimeRecovering =
                load.fractionInTime(stopSeconds + stallSeconds, stopSeconds + stallSeconds + 2);
        String summary =
                "seed %d, stall %.1f s: in time %.3f before, %.3f in the 2 s after, %.3f then; log:%n%s"
                        .formatted(
                                seed,
                                stallSeconds,
                                inTimeBefore,
                                inTimeRecovering,
                                inTimeAfter,
                                process.log());
        assertEquals(List.of(), rules.violations, summary);
        assertEquals(List.of(), load.lostAnswers, summary);
        assertEquals(load.sentCount, load.answers.size());
        assertTrue(inTimeAfter >= 0.9 * inTimeBefore && inTimeBefore > 0.8, summary);
        assertTrue(process.log().contains("this process did nothing for"), summary);
        assertFalse(process.log().contains("ejected"), summary);
        System.out.println(summary.lines().findFirst().orElseThrow());
    }

    /**
     * Far more clients connect than allowed, most of them silent: the bound holds, accepting never
     * fails, and the other clients are served.
     */
    @Test
    void floodStaysBelowDescriptorLimit() throws Exception {
        int limit = 128;
        RuleChecker rules = new RuleChecker();
        start(2, limit, rules);
        List<Socket> silent = new ArrayList<>();
        int maxDescriptors = 0;
        int served = 0;
        for (int round = 0; round < 6; round++) {
            for (int i = 0; i < 100; i++) {
                silent.add(new Socket(frontAddress.getAddress(), frontAddress.getPort()));
                maxDescriptors = Math.max(maxDescriptors, process.countDescriptors());
            }
            for (int i = 0; i < 4; i++) {
                try (Client client = new Client(frontAddress)) {
                    client.socket.setSoTimeout(3000);
                    String sql = SocketTestSupport.query("check", 100 * round + i, 2500);
                    client.write(Client.startupMessage(), Client.queryMessage(sql));
                    String answer = client.readAnswer();
                    answer += answer.isEmpty() ? client.readAnswer() : "";
                    served += answer.startsWith("T D(a b c)") ? 1 : 0;
                    assertTrue(
                            answer.startsWith("T D(a b c)") || answer.startsWith("E(53300"),
                            answer);
                }
                maxDescriptors = Math.max(maxDescriptors, process.countDescriptors());
            }
        }
        for (Socket socket : silent) {
            socket.close();
        }
        assertTrue(maxDescriptors < limit, "descriptors in use: " + maxDescriptors);
        assertTrue(served >= 18, "served " + served + " of 24");
        assertFalse(process.log().contains("accept failed"), process.log());
        assertEquals(List.of(), rules.violations);
        System.out.println(
                "flood: "
                        + maxDescriptors
                        + " descriptors of "
                        + limit
                        + ", served "
                        + served
                        + " of 24");
    }
}
