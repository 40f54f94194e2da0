package junipercourse.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import junipercourse.Client;
import junipercourse.QueryStream;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Clients with persistent connections that send queries at a constant rate, each at its scheduled
 * time.
 */
final class ConstantRateLoad {
    private static final int CLIENT_COUNT = 16;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final AtomicInteger LAST_QUERY_NUMBER = new AtomicInteger();

    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger notServed = new AtomicInteger();
    final ConcurrentHistogram latencyMicros = new ConcurrentHistogram(HISTOGRAM_DIGITS);
    final double seconds;
    private volatile String lastFailure = "";

    /**
     * Sends the queries and waits for all answers.
     *
     * @param groups number of table groups that the queries read round-robin; 0: each query reads
     *     its own group
     */
    ConstantRateLoad(InetSocketAddress front, double rate, double seconds, int groups)
            throws InterruptedException {
        int queryCount = (int) Math.max(1, rate * seconds);
        long startNanos = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            int firstQuery = i;
            Thread thread =
                    new Thread(
                            () ->
                                    runClient(
                                            front,
                                            firstQuery,
                                            queryCount,
                                            startNanos,
                                            rate,
                                            groups));
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        this.seconds = (System.nanoTime() - startNanos) * 1e-9;
    }

    private void runClient(
            InetSocketAddress front,
            int firstQuery,
            int queryCount,
            long startNanos,
            double rate,
            int groups) {
        if (firstQuery >= queryCount) {
            return;
        }
        try (Client client = new Client(front).startSession()) {
            for (int i = firstQuery; i < queryCount; i += CLIENT_COUNT) {
                long dueNanos = startNanos + (long) (i / rate * 1e9);
                while (System.nanoTime() < dueNanos) {
                    LockSupport.parkNanos(dueNanos - System.nanoTime());
                }
                long sentNanos = System.nanoTime();
                String answer = client.query(nextQuery(groups));
                latencyMicros.recordValue((System.nanoTime() - sentNanos) / 1000);
                if (answer.equals(QueryStream.EXPECTED_ANSWER)) {
                    served.incrementAndGet();
                } else {
                    notServed.incrementAndGet();
                    lastFailure = answer;
                }
            }
        } catch (IOException e) {
            notServed.incrementAndGet();
            lastFailure = e.toString();
        }
    }

    static String nextQuery(int groups) {
        int number = LAST_QUERY_NUMBER.incrementAndGet();
        return ("/* kind=check,req=%016x,timeout=7000,owner=acme,opkey=k%d,subject=00000000000000aa"
                        + " */ SELECT n FROM g_%d.t")
                .formatted(number, number, groups > 0 ? number % groups : number);
    }

    /**
     * Returns why the measurement is not valid, or an empty string. A load that was not served at
     * the requested rate is not a valid measurement.
     */
    String invalidReason(double rate) {
        if (served.get() == 0 || notServed.get() * 100 > served.get()) {
            return notServed + " queries not served, such as: " + lastFailure;
        }
        return served.get() / seconds < 0.9 * rate
                ? "only "
                        + Math.round(served.get() / seconds)
                        + " queries a second of "
                        + Math.round(rate)
                        + " were answered"
                : "";
    }
}
