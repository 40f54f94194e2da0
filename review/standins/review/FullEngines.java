package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: all engines are full for 8 s, since other dispatchers' queries hold their sessions, and then
 * idle. In the last third of the minute a dispatcher must serve at least a fifth of what can be
 * served, which is all of it.
 */
public final class FullEngines {
    private static final int ENGINES = 6;
    private static final double REQUESTS_PER_SECOND = 30;
    private static final double FULL_FROM = 12;
    private static final double FULL_SECONDS = 8;
    private static final double LAST_THIRD = 40;
    private static final double END = 60;
    private static final double LEAST_SHARE = 0.2;

    private FullEngines() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        AtomicInteger[] served = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        AtomicInteger[] sent = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        int postsInLastThird = 0;
        try (Record record = new Record(Path.of(args[1]))) {
            List<Engine> engines = new ArrayList<>();
            for (int i = 1; i <= ENGINES; i++) {
                engines.add(new Engine("engine-" + i, record, (call, answer) -> List.of(answer)));
            }
            ExecutorService clients =
                    Executors.newCachedThreadPool(
                            task -> {
                                Thread thread = new Thread(task);
                                thread.setDaemon(true);
                                return thread;
                            });
            try (Dispatcher dispatcher = new Dispatcher(root, 2, engines, record)) {
                Random random = new Random(46);
                double start = record.seconds();
                boolean full = false;
                int postsBefore = -1;
                double next = 0;
                for (int i = 0; next < END; i++) {
                    next += -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
                    Thread.sleep((long) (1000 * Math.max(0, next - (record.seconds() - start))));
                    boolean fullNow = trouble && next >= FULL_FROM && next < FULL_FROM + FULL_SECONDS;
                    if (fullNow != full) {
                        full = fullNow;
                        for (Engine engine : engines) {
                            engine.setFull(full);
                        }
                    }
                    if (next >= LAST_THIRD && postsBefore < 0) {
                        postsBefore = engines.stream().mapToInt(Engine::posts).sum();
                    }
                    int third = (int) Math.min(2, next * 3 / END);
                    int number = i;
                    sent[third].incrementAndGet();
                    clients.submit(
                            () -> {
                                if (query(dispatcher, number, record)) {
                                    served[third].incrementAndGet();
                                }
                                return null;
                            });
                }
                postsInLastThird = engines.stream().mapToInt(Engine::posts).sum() - postsBefore;
                clients.shutdown();
                clients.awaitTermination(9, TimeUnit.SECONDS);
                try (Client front = new Client(dispatcher.address())) {
                    record.line(
                            "front",
                            "empty query answered: " + front.query("", 2000).emptyQuery());
                }
                if (!dispatcher.process().isAlive()) {
                    throw new IllegalStateException("the dispatcher has ended: " + dispatcher.log());
                }
            } finally {
                clients.shutdownNow();
                for (Engine engine : engines) {
                    engine.close();
                }
            }
            StringBuilder result = new StringBuilder("served of sent, by thirds of the minute:");
            for (int i = 0; i < 3; i++) {
                result.append(" %d of %d".formatted(served[i].get(), sent[i].get()));
            }
            result.append("; queries that reached an engine in the last third: " + postsInLastThird);
            record.line("result", result.toString());
            System.out.println(result);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        if (served[0].get() == 0) {
            System.exit(2);
        }
        System.exit(served[2].get() < LEAST_SHARE * sent[2].get() ? 1 : 0);
    }

    /** A number from 0 to 99 that a request's number determines. */
    private static int percentile(int number) {
        return new Random(number * 7919L).nextInt(100);
    }

    /** Sends one quick-check on a connection of its own; returns whether it was served whole. */
    private static boolean query(Dispatcher dispatcher, int number, Record record) throws Exception {
        String id = "%016x".formatted(0x46100000L + number);
        String who = "client-" + number;
        try (Client client = new Client(dispatcher.address())) {
            record.line(who, "sends " + id);
            int share = percentile(number);
            String owner =
                    share < 41
                            ? "southern-rentals"
                            : share < 81 ? "tamar-property" : "coastal-lettings";
            Client.Answer answer =
                    client.query(
                            ("/* kind=quick-check,req=%s,timeout=7000,owner=%s,ms=300.0,ram=96 */"
                                            + " SELECT day, n, note FROM sales_%d.orders WHERE tag = 'work=300 rows=20'")
                                    .formatted(id, owner, number % 20),
                            8000);
            record.line(who, id + " " + answer.summary());
            return answer.tag() != null && answer.rows().equals(Engine.rowsOf(id, 20));
        } catch (Exception e) {
            record.line(who, id + " " + e);
            throw e;
        }
    }
}
