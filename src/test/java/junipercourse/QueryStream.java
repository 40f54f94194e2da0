package junipercourse;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * A steady stream of queries, with checks on each: it gets one answer, and no attempt runs beside
 * another attempt of the same query or after one has ended. Half of the clients keep their
 * connections, the others open one for every second query.
 */
public final class QueryStream implements Closeable {
    public static final String EXPECTED_ANSWER = "T D(a b c) C(SELECT 1)";
    private static final int CLIENTS = 8;
    private static final int MAX_PAUSE_MILLIS = 150;

    /** A query whose connection is closed within this time of the write may be sent again, once. */
    private static final long CLOSE_RACE_WINDOW_NANOS = 50_000_000;

    private static final AtomicInteger NEXT_NUMBER = new AtomicInteger();

    /** Query ids: true while an engine runs the query, false once it has ended. */
    private final Map<String, Boolean> runningById = new ConcurrentHashMap<>();

    public final List<String> duplicateAttempts = new CopyOnWriteArrayList<>();
    public final List<String> unexpectedAnswers = new CopyOnWriteArrayList<>();

    /**
     * Queries that were not admitted: the connection was refused or closed, or they were left
     * unread.
     */
    public final List<String> notAdmitted = new CopyOnWriteArrayList<>();

    public final AtomicInteger served = new AtomicInteger();
    public final AtomicInteger redirected = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private final InetSocketAddress front;
    private volatile boolean stopping;

    public QueryStream(InetSocketAddress front) {
        this.front = front;
    }

    /** Wraps a script for engines and records a second attempt of a query. */
    public Function<String, String> detectDuplicates(Function<String, String> script) {
        return call -> {
            String id = StubEngines.queryId(call);
            if (call.startsWith("POST") && runningById.putIfAbsent(id, true) != null) {
                duplicateAttempts.add(call);
            }
            String answer = script.apply(call);
            if (call.startsWith("DELETE")) {
                runningById.remove(id); // cancelled: it may be retried
            } else if (answer.startsWith("HTTP/1.1 200")) {
                runningById.put(id, false);
            }
            return answer;
        };
    }

    /** A query of a class with an id, keys and a table of its own. */
    public static String query(String queryClass) {
        int number = NEXT_NUMBER.incrementAndGet();
        return "/* kind=%s,req=%016x,timeout=7000,owner=acme,opkey=k%d,subject=%016x */ SELECT n FROM t%d"
                .formatted(queryClass, number, number, number, number);
    }

    /** Sends one query on a connection of its own. */
    public static String queryOnce(InetSocketAddress front, String sql) throws IOException {
        try (Client client = new Client(front)) {
            return client.startSession().query(sql);
        }
    }

    public QueryStream start() {
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> runClient(number), "client-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
        return this;
    }

    /** Waits until this many more queries have been served. */
    public void awaitServed(int additional) {
        int servedBefore = served.get();
        SocketTestSupport.await(
                () -> served.get() >= servedBefore + additional,
                ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
    }

    private void runClient(int number) {
        Random random = new Random(number);
        boolean keepsConnection = number % 2 == 0;
        Client client = null;
        for (int i = 0; !stopping; i++) {
            if (client != null && (isClosed(client) || !keepsConnection && i % 2 == 0)) {
                close(client);
                client = null;
            }
            client = sendQuery(client, query(i % 3 == 0 ? "load" : "check"));
            SocketTestSupport.sleepMillis(random.nextInt(MAX_PAUSE_MILLIS));
        }
        close(client);
    }

    /** Whether the dispatcher has closed an idle connection, which it announces with a message. */
    private static boolean isClosed(Client client) {
        try {
            return client.socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return true;
        }
    }

    /**
     * Sends a query on a connection, a new one if it is null; returns the connection to use next.
     */
    private Client sendQuery(Client openClient, String sql) {
        Client client = openClient;
        for (int tries = 0; ; tries++) {
            long writtenNanos = Long.MAX_VALUE;
            try {
                client = client == null ? new Client(front).startSession() : client;
                writtenNanos = System.nanoTime();
                String answer = client.query(sql);
                if (answer.equals(EXPECTED_ANSWER)) {
                    served.incrementAndGet();
                    return client;
                }
                if (answer.startsWith("E(53300 the dispatcher is being replaced")) {
                    tries--; // not started, redirected to the next process
                    redirected.incrementAndGet();
                } else if (!answer.isEmpty() && !answer.endsWith("closed=true")) {
                    unexpectedAnswers.add(answer + " to " + sql);
                    return client;
                }
            } catch (IOException e) {
                writtenNanos =
                        Math.min(writtenNanos, System.nanoTime()); // as if closed without an answer
            }
            close(client);
            client = null;
            if (tries > 0
                    || tries == 0 && System.nanoTime() - writtenNanos > CLOSE_RACE_WINDOW_NANOS) {
                notAdmitted.add(sql);
                return null;
            }
        }
    }

    private static void close(Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Stops the clients, each after the answer that it waits for. */
    @Override
    public void close() {
        stopping = true;
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
