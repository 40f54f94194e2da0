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
import junipercourse.SocketTestSupport.Client;

/**
 * A steady stream of queries, and what must hold of each: one answer, and never two attempts at
 * once or one after it has ended. Half of the clients keep their connections, half open one for
 * each second query.
 */
public final class QueryStream implements Closeable {
    public static final String EXPECTED_ANSWER = "T D(a b c) C(SELECT 1)";
    private static final int CLIENTS = 8;
    private static final int MAX_PAUSE_MILLIS = 150;

    /** A query that crosses a close so late after it was written may be sent again, once. */
    private static final long CLOSE_RACE_WINDOW_NANOS = 50_000_000;

    private static final AtomicInteger NEXT_NUMBER = new AtomicInteger();

    /** Of each query's id: true while an engine has it, false once it has ended. */
    private final Map<String, Boolean> runningById = new ConcurrentHashMap<>();

    public final List<String> duplicateAttempts = new CopyOnWriteArrayList<>();
    public final List<String> unexpectedAnswers = new CopyOnWriteArrayList<>();

    /** Queries that ended at the door: not let in, closed on, or left unread. */
    public final List<String> notAdmitted = new CopyOnWriteArrayList<>();

    public final AtomicInteger served = new AtomicInteger();
    public final AtomicInteger redirected = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private final InetSocketAddress front;
    private volatile boolean stopping;

    public QueryStream(InetSocketAddress front) {
        this.front = front;
    }

    /** An engine's script around another one, which sees that it is asked for each query once. */
    public Function<String, String> detectDuplicates(Function<String, String> script) {
        return call -> {
            String id = StubEngines.queryId(call);
            if (call.startsWith("POST") && runningById.putIfAbsent(id, true) != null) {
                duplicateAttempts.add(call);
            }
            String answer = script.apply(call);
            if (call.startsWith("DELETE")) {
                runningById.remove(id); // called off: it may be tried again
            } else if (answer.startsWith("HTTP/1.1 200")) {
                runningById.put(id, false);
            }
            return answer;
        };
    }

    /** A fresh query of a class, with keys and a table of its own. */
    public static String query(String queryClass) {
        int number = NEXT_NUMBER.incrementAndGet();
        return "/* kind=%s,req=%016x,timeout=7000,owner=acme,opkey=k%d,subject=%016x */ SELECT n FROM t%d"
                .formatted(queryClass, number, number, number, number);
    }

    /** Asks once, on a connection of its own. */
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

    /** Waits until so many more have been served. */
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

    /** Whether the dispatcher has closed a connection that rested, and has said so. */
    private static boolean isClosed(Client client) {
        try {
            return client.socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Asks on a connection, a new one if it is null; returns the connection to go on with. */
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
                    tries--; // never begun, and sent on to the process that comes after
                    redirected.incrementAndGet();
                } else if (!answer.isEmpty() && !answer.endsWith("closed=true")) {
                    unexpectedAnswers.add(answer + " to " + sql);
                    return client;
                }
            } catch (IOException e) {
                writtenNanos =
                        Math.min(
                                writtenNanos,
                                System.nanoTime()); // as if it were closed without an answer
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

    /** Ends the clients, each after the answer that it waits for. */
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
