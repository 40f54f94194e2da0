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
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The whole process is stopped, or flooded, under load; engines that check the rules stand behind
 * it.
 */
class RecoveryTest {
    private static final String MEMBER =
            """
            {"id":"s-%08x","host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,
            "phase":"Ready","size":12.0,"up_since_ms":0}\
            """;
    private static final int MOST_SPARE = 40;
    private static final int KEYS = 3;
    private static final long KEY_GAP_MS = 80;
    private static final double IN_TIME_S = 1.0;
    private static final double CROSSING_S = 0.05;

    @TempDir private Path folder;
    private final List<RuleCheckingEngine> engines = new ArrayList<>();
    private DispatcherProcess process;
    private InetSocketAddress front;

    @AfterEach
    void end() throws Exception {
        if (process != null) {
            process.close();
        }
        for (RuleCheckingEngine e : engines) {
            e.stub.close();
        }
    }

    private void start(int count, int sockets, RuleChecker rules) throws IOException {
        List<String> members = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            RuleCheckingEngine e = new RuleCheckingEngine(rules);
            engines.add(e);
            members.add(MEMBER.formatted(i, e.stub.address().getPort()));
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
        front = process.address();
    }

    /** What the rules forbid, as the engines see it. */
    private static final class RuleChecker {
        final List<String> broken = new CopyOnWriteArrayList<>();
        private final Map<String, Long> keyOf = new ConcurrentHashMap<>();
        private final Map<String, Integer> numberOf = new ConcurrentHashMap<>();
        private final Map<Long, Integer> lastSent = new ConcurrentHashMap<>();
        private final Map<String, RuleCheckingEngine> runningAt = new ConcurrentHashMap<>();
        private final Map<Long, String> keyHeldBy = new ConcurrentHashMap<>();
        private int written;

        /** A request of a key is written now; returns its id. */
        synchronized String written(long key) {
            written++;
            String id = "%016x".formatted(written);
            keyOf.put(id, key);
            numberOf.put(id, written);
            return id;
        }

        synchronized void starts(String id, RuleCheckingEngine at) {
            RuleCheckingEngine other = runningAt.put(id, at);
            if (other != null) {
                broken.add("two attempts of " + id);
            }
            long key = keyOf.getOrDefault(id, 0L);
            if (key == 0) {
                return;
            }
            String holder = keyHeldBy.put(key, id);
            if (holder != null && !holder.equals(id)) {
                broken.add("order: " + id + " was sent while " + holder + " of the same key runs");
            }
            int number = numberOf.get(id);
            if (lastSent.getOrDefault(key, 0) > number) {
                broken.add("order: " + id + " was sent after a later one of its key");
            }
            lastSent.merge(key, number, Math::max);
        }

        synchronized void over(String id) {
            runningAt.remove(id);
            keyHeldBy.remove(keyOf.getOrDefault(id, 0L), id);
        }
    }

    /** Runs each query for 30 ms, answers its news, and drops what nobody has asked for in 2 s. */
    private static final class RuleCheckingEngine {
        private static final long WORK_MS = 30;
        final SocketTestSupport.StubEngine stub;
        private final RuleChecker rules;
        private final Map<String, Long> endsAt = new ConcurrentHashMap<>();
        private final Map<String, Long> askedAt = new ConcurrentHashMap<>();

        RuleCheckingEngine(RuleChecker rules) throws IOException {
            this.rules = rules;
            stub = new SocketTestSupport.StubEngine(this::answer);
            SocketTestSupport.startDaemon(
                    () -> {
                        while (true) {
                            SocketTestSupport.sleepMillis(10);
                            sweep(System.currentTimeMillis());
                        }
                    });
        }

        private synchronized void sweep(long now) {
            askedAt.forEach(
                    (id, at) -> {
                        if (now - at > 2000) {
                            askedAt.remove(id);
                            endsAt.remove(id);
                            rules.over(id);
                        }
                    });
            endsAt.forEach(
                    (id, at) -> {
                        if (now >= at) {
                            rules.over(id);
                        }
                    });
        }

        private String answer(String call) {
            String[] words = call.split(" ");
            boolean post = words[0].equals("POST");
            String id = post ? words[2] : words[1].split("/")[2];
            synchronized (this) {
                long now = System.currentTimeMillis();
                sweep(now);
                if (post) {
                    rules.starts(id, this);
                    endsAt.put(id, now + WORK_MS);
                }
                if (!endsAt.containsKey(id)) {
                    return SocketTestSupport.FAILED;
                }
                askedAt.put(id, now);
                if (words[0].equals("DELETE")) {
                    endsAt.remove(id);
                    askedAt.remove(id);
                    rules.over(id);
                    return SocketTestSupport.CANCELLED;
                }
            }
            SocketTestSupport.sleepMillis(
                    Math.max(1, endsAt.getOrDefault(id, 0L) - System.currentTimeMillis()));
            synchronized (this) {
                sweep(System.currentTimeMillis());
                return endsAt.containsKey(id) ? SocketTestSupport.OK : SocketTestSupport.FAILED;
            }
        }
    }

    /** One request: when it was written, and what came back after how long. */
    private record CompletedRequest(double at, String answer, double took) {}

    private record IdleSession(Client client, double since) {}

    /**
     * Open arrivals until a time, some of keys; each on a session of its own, half of them opened
     * before.
     */
    private final class LoadGenerator {
        final List<CompletedRequest> answers = new CopyOnWriteArrayList<>();
        final List<String> lost = new CopyOnWriteArrayList<>();
        private final ExecutorService threads = Executors.newCachedThreadPool();
        private final Deque<IdleSession> spare = new ConcurrentLinkedDeque<>();
        private final long from = System.nanoTime();
        private int sent;

        double now() {
            return (System.nanoTime() - from) / 1e9;
        }

        void run(RuleChecker rules, long seed, double seconds) throws Exception {
            Random random = new Random(seed);
            long[] keyFree = new long[KEYS + 1];
            while (now() < seconds) {
                SocketTestSupport.sleepMillis(5 + random.nextInt(20));
                int k = random.nextInt(2 * KEYS);
                long key = k < KEYS && System.currentTimeMillis() >= keyFree[k + 1] ? k + 1 : 0;
                Client c = spare();
                boolean fresh = c == null;
                Client client = fresh ? new Client(front) : c;
                String id = rules.written(key);
                keyFree[(int) key] = System.currentTimeMillis() + (fresh ? 4 : 1) * KEY_GAP_MS;
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
                double at = now();
                sent++;
                byte[] query = Client.queryMessage(sql);
                try {
                    client.write(fresh ? joined(Client.startupMessage(), query) : query);
                    threads.execute(() -> await(client, fresh, at));
                } catch (IOException e) { // closed just now: nothing of it has been taken
                    answers.add(new CompletedRequest(at, "not written", 0));
                }
            }
            threads.shutdown();
            assertTrue(threads.awaitTermination(12, TimeUnit.SECONDS), "some have no answer");
        }

        private byte[] joined(byte[] first, byte[] second) {
            return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
        }

        /**
         * An idle session, half of the time; clients close those that were idle for long
         * themselves.
         */
        private Client spare() throws IOException {
            while (!spare.isEmpty()
                    && (spare.size() > MOST_SPARE
                            || spare.peek().since < now() - 3.5
                            || spare.peek().client.socket.getInputStream().available()
                                    > 0)) { // it was closed
                spare.poll().client.close();
            }
            return sent % 2 == 0 && !spare.isEmpty() ? spare.poll().client : null;
        }

        /** As clients do: who has no answer in his time goes. */
        private void await(Client client, boolean fresh, double at) {
            String answer;
            try {
                client.socket.setSoTimeout(3000);
                answer = fresh ? client.readAnswer() + client.readAnswer() : client.readAnswer();
                spare.add(new IdleSession(client, now()));
            } catch (IOException e) {
                answer = "none " + e;
                try {
                    client.close();
                } catch (IOException again) {
                    answer += again;
                }
            }
            double took = now() - at;
            boolean closed =
                    answer.isEmpty()
                            || answer.contains("57P05")
                            || answer.contains("SocketException");
            if (closed
                    && !fresh
                    && took > CROSSING_S) { // what crosses a close is sent again by clients
                lost.add("after %.3f s, written at %.3f: %s".formatted(took, at, answer));
            }
            answers.add(new CompletedRequest(at, answer, took));
        }

        double inTime(double start, double end) {
            List<CompletedRequest> in =
                    answers.stream().filter(a -> a.at >= start && a.at < end).toList();
            long good =
                    in.stream()
                            .filter(a -> a.answer.startsWith("T D(a b c)") && a.took < IN_TIME_S)
                            .count();
            return in.isEmpty() ? 0 : (double) good / in.size();
        }
    }

    /**
     * The process is stopped and goes on: no order is broken, no request runs twice at once, each
     * has one answer, and two seconds later the service is what it was before.
     */
    @ParameterizedTest
    @CsvSource({"0.2, 1, 512", "1, 2, 512", "3, 3, 512", "2.5, 4, 160"})
    void keepsTheRulesThroughAStallAndIsWholeAgainTwoSecondsLater(
            double stall, long seed, int sockets) throws Exception {
        RuleChecker rules = new RuleChecker();
        start(4, sockets, rules);
        LoadGenerator load = new LoadGenerator();
        double stopAt = 2.5;
        SocketTestSupport.startDaemon(
                () -> {
                    try {
                        SocketTestSupport.sleepMillis((long) (stopAt * 1000));
                        process.signal("STOP");
                        SocketTestSupport.sleepMillis((long) (stall * 1000));
                        process.signal("CONT");
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                });
        load.run(rules, seed, stopAt + stall + 4);
        double before = load.inTime(0.5, stopAt - 0.3);
        double after = load.inTime(stopAt + stall + 2, stopAt + stall + 4);
        double first = load.inTime(stopAt + stall, stopAt + stall + 2);
        String told =
                "seed %d, stall %.1f s: in time %.3f before, %.3f in the 2 s after, %.3f then; log:%n%s"
                        .formatted(seed, stall, before, first, after, process.log());
        assertEquals(List.of(), rules.broken, told);
        assertEquals(List.of(), load.lost, told);
        assertEquals(load.sent, load.answers.size());
        assertTrue(after >= 0.9 * before && before > 0.8, told);
        assertTrue(process.log().contains("this process did nothing for"), told);
        assertFalse(process.log().contains("ejected"), told);
        System.out.println(told.lines().findFirst().orElseThrow());
    }

    /**
     * Far more connect than may, most say nothing: the bound holds, accepting never fails, others
     * are served.
     */
    @Test
    void aFloodNeverMeetsTheLimitOfDescriptors() throws Exception {
        int limit = 128;
        RuleChecker rules = new RuleChecker();
        start(2, limit, rules);
        List<Socket> silent = new ArrayList<>();
        int most = 0;
        int served = 0;
        for (int round = 0; round < 6; round++) {
            for (int i = 0; i < 100; i++) {
                silent.add(new Socket(front.getAddress(), front.getPort()));
                most = Math.max(most, process.countDescriptors());
            }
            for (int i = 0; i < 4; i++) {
                try (Client c = new Client(front)) {
                    c.socket.setSoTimeout(3000);
                    String sql = SocketTestSupport.query("check", 100 * round + i, 2500);
                    c.write(Client.startupMessage(), Client.queryMessage(sql));
                    String answer = c.readAnswer();
                    answer += answer.isEmpty() ? c.readAnswer() : "";
                    served += answer.startsWith("T D(a b c)") ? 1 : 0;
                    assertTrue(
                            answer.startsWith("T D(a b c)") || answer.startsWith("E(53300"),
                            answer);
                }
                most = Math.max(most, process.countDescriptors());
            }
        }
        for (Socket s : silent) {
            s.close();
        }
        assertTrue(most < limit, "held " + most);
        assertTrue(served >= 18, "served " + served + " of 24");
        assertFalse(process.log().contains("accept failed"), process.log());
        assertEquals(List.of(), rules.broken);
        System.out.println(
                "flood: " + most + " descriptors of " + limit + ", served " + served + " of 24");
    }
}
