package junipercourse.cli;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import junipercourse.Client;
import junipercourse.SocketTestSupport;

/** Clients that send one query after the other, each on a session of its own. */
final class UsualClients implements Closeable {
    private static final long PAUSE_MILLIS = 50;
    private static final int TIMEOUT_MILLIS = 2500;

    /** Numbers of queries, far from those that tests use for other clients. */
    private static final int FIRST_QUERY = 1_000_000;

    private final AtomicInteger nextQuery = new AtomicInteger(FIRST_QUERY);
    private final List<Thread> threads = new ArrayList<>();
    private final List<Answer> answers = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;

    /** What a query got, and after how long. */
    record Answer(String text, double seconds) {
        boolean isServed() {
            return text.startsWith("T ");
        }
    }

    UsualClients(InetSocketAddress front, int count) {
        for (int i = 0; i < count; i++) {
            Thread thread = new Thread(() -> run(front), "usual client " + i);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(InetSocketAddress front) {
        try (Client client = new Client(front).startSession()) {
            while (!stopped) {
                long start = System.nanoTime();
                String text =
                        client.query(
                                SocketTestSupport.query(
                                        "check", nextQuery.incrementAndGet(), TIMEOUT_MILLIS));
                answers.add(new Answer(text, (System.nanoTime() - start) / 1e9));
                SocketTestSupport.sleepMillis(PAUSE_MILLIS);
            }
        } catch (IOException e) {
            answers.add(new Answer("no answer: " + e, Double.POSITIVE_INFINITY));
        }
    }

    List<Answer> answers() {
        return answers;
    }

    double longestSeconds() {
        return answers.stream().mapToDouble(Answer::seconds).max().orElse(0);
    }

    /** Waits for the last answers. */
    @Override
    public void close() {
        stopped = true;
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
