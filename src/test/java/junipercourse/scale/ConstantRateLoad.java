package junipercourse.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
import org.HdrHistogram.ConcurrentHistogram;

/** Clients that keep their connections and ask so many queries a second, each at its time. */
final class ConstantRateLoad {
    private static final int CLIENTS = 16;
    private static final int DIGITS = 3;
    private static final AtomicInteger NUMBER = new AtomicInteger();

    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger unserved = new AtomicInteger();
    final ConcurrentHistogram micros = new ConcurrentHistogram(DIGITS);
    final double seconds;
    private volatile String fault = "";

    /**
     * Asks and waits for the answers.
     *
     * @param groups of tables that are read in turn; 0: each query reads a group of its own
     */
    ConstantRateLoad(InetSocketAddress front, double rate, double seconds, int groups)
            throws InterruptedException {
        int all = (int) Math.max(1, rate * seconds);
        long begun = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int first = i;
            Thread t = new Thread(() -> client(front, first, all, begun, rate, groups));
            t.setDaemon(true);
            threads.add(t);
            t.start();
        }
        for (Thread t : threads) {
            t.join();
        }
        this.seconds = (System.nanoTime() - begun) * 1e-9;
    }

    private void client(
            InetSocketAddress front, int first, int all, long begun, double rate, int groups) {
        if (first >= all) {
            return;
        }
        try (SocketTestSupport.Client c = new SocketTestSupport.Client(front).startSession()) {
            for (int i = first; i < all; i += CLIENTS) {
                long due = begun + (long) (i / rate * 1e9);
                while (System.nanoTime() < due) {
                    LockSupport.parkNanos(due - System.nanoTime());
                }
                long asked = System.nanoTime();
                String answer = c.query(query(groups));
                micros.recordValue((System.nanoTime() - asked) / 1000);
                if (answer.equals(QueryStream.EXPECTED_ANSWER)) {
                    served.incrementAndGet();
                } else {
                    unserved.incrementAndGet();
                    fault = answer;
                }
            }
        } catch (IOException e) {
            unserved.incrementAndGet();
            fault = e.toString();
        }
    }

    static String query(int groups) {
        int number = NUMBER.incrementAndGet();
        return ("/* kind=check,req=%016x,timeout=7000,owner=acme,opkey=k%d,subject=00000000000000aa"
                        + " */ SELECT n FROM g_%d.t")
                .formatted(number, number, groups > 0 ? number % groups : number);
    }

    /**
     * Why these figures do not count, or nothing: a load that was not served as asked is no
     * measure.
     */
    String why(double rate) {
        if (served.get() == 0 || unserved.get() * 100 > served.get()) {
            return unserved + " queries not served, such as: " + fault;
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
