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
        try (Client c = new Client(front)) {
            return c.startSession().query(sql);
        }
    }

    public QueryStream start() {
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread t = new Thread(() -> runClient(number), "client-" + i);
            t.setDaemon(true);
            threads.add(t);
            t.start();
        }
        return this;
    }

    /** Waits until so many more have been served. */
    public void awaitServed(int queries) {
        int from = served.get();
        SocketTestSupport.await(
                () -> served.get() >= from + queries, ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
    }

    private void runClient(int number) {
        Random random = new Random(number);
        boolean keeps = number % 2 == 0;
        Client c = null;
        for (int i = 0; !stopping; i++) {
            if (c != null && (isClosed(c) || !keeps && i % 2 == 0)) {
                close(c);
                c = null;
            }
            c = sendQuery(c, query(i % 3 == 0 ? "load" : "check"));
            SocketTestSupport.sleepMillis(random.nextInt(MAX_PAUSE_MILLIS));
        }
        close(c);
    }

    /** Whether the dispatcher has closed a connection that rested, and has said so. */
    private static boolean isClosed(Client c) {
        try {
            return c.socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Asks on a connection, a new one if it is null; returns the connection to go on with. */
    private Client sendQuery(Client client, String sql) {
        Client c = client;
        for (int tried = 0; ; tried++) {
            long wrote = Long.MAX_VALUE;
            try {
                c = c == null ? new Client(front).startSession() : c;
                wrote = System.nanoTime();
                String answer = c.query(sql);
                if (answer.equals(EXPECTED_ANSWER)) {
                    served.incrementAndGet();
                    return c;
                }
                if (answer.startsWith("E(53300 the dispatcher is being replaced")) {
                    tried--; // never begun, and sent on to the process that comes after
                    redirected.incrementAndGet();
                } else if (!answer.isEmpty() && !answer.endsWith("closed=true")) {
                    unexpectedAnswers.add(answer + " to " + sql);
                    return c;
                }
            } catch (IOException e) {
                wrote =
                        Math.min(
                                wrote, System.nanoTime()); // as if it were closed without an answer
            }
            close(c);
            c = null;
            if (tried > 0 || tried == 0 && System.nanoTime() - wrote > CLOSE_RACE_WINDOW_NANOS) {
                notAdmitted.add(sql);
                return null;
            }
        }
    }

    private static void close(Client c) {
        try {
            if (c != null) {
                c.close();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Ends the clients, each after the answer that it waits for. */
    @Override
    public void close() {
        stopping = true;
        for (Thread t : threads) {
            try {
                t.join();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
