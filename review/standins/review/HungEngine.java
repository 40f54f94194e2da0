package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: one of four engines hangs once for 2.5 s and goes on. No request may have two attempts that
 * run at the same time, at two engines.
 */
public final class HungEngine {
    private static final int ENGINES = 4;
    private static final double REQUESTS_PER_SECOND = 20;
    private static final double HANG_AT = 6;
    private static final double HANG_SECONDS = 2.5;
    private static final double END = 12;

    /** Shorter overlaps are put down to the time that a message takes. */
    private static final double LEAST_OVERLAP_SECONDS = 0.1;

    /** The runs of each request that go on now, with the time of their start. */
    private final Map<String, Map<Engine, Double>> running = new HashMap<>();

    private final Map<String, Double> overlapSince = new HashMap<>();
    private final Record record;
    private int overlaps;

    private HungEngine(Record record) {
        this.record = record;
    }

    private synchronized void changed(Engine engine, String id, boolean runs) {
        Map<Engine, Double> engines = running.computeIfAbsent(id, key -> new HashMap<>());
        double now = record.seconds();
        if (runs) {
            engines.put(engine, now);
            if (engines.size() == 2) {
                overlapSince.put(id, now);
            }
        } else if (engines.remove(engine) != null && engines.size() == 1) {
            double seconds = now - overlapSince.remove(id);
            if (seconds >= LEAST_OVERLAP_SECONDS) {
                overlaps++;
                record.line(
                        "BROKEN", "%s ran at two engines at once for %.3f s".formatted(id, seconds));
            }
        }
    }

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        AtomicInteger served = new AtomicInteger();
        int overlaps = 0;
        try (Record record = new Record(Path.of(args[1]))) {
            HungEngine check = new HungEngine(record);
            List<Engine> engines = new ArrayList<>();
            for (int i = 1; i <= ENGINES; i++) {
                Engine engine = new Engine("engine-" + i, record, (call, answer) -> List.of(answer));
                engine.setRunListener(check::changed);
                engines.add(engine);
            }
            ExecutorService clients = Executors.newCachedThreadPool();
            int sent = 0;
            try (Dispatcher dispatcher = new Dispatcher(root, 1, engines, record)) {
                Random random = new Random(46);
                double start = record.seconds();
                boolean hung = false;
                for (double next = 0; next < END; sent++) {
                    next += -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
                    Thread.sleep((long) (1000 * Math.max(0, next - (record.seconds() - start))));
                    if (trouble && !hung && next >= HANG_AT) {
                        hung = true;
                        engines.get(0).hang(HANG_SECONDS);
                    }
                    int number = sent;
                    clients.submit(
                            () -> {
                                if (query(dispatcher, number, record)) {
                                    served.incrementAndGet();
                                }
                                return null;
                            });
                }
                clients.shutdown();
                clients.awaitTermination(9, TimeUnit.SECONDS);
                if (!dispatcher.process().isAlive()) {
                    throw new IllegalStateException("the dispatcher has ended: " + dispatcher.log());
                }
            } finally {
                clients.shutdownNow();
                for (Engine engine : engines) {
                    engine.close();
                }
            }
            overlaps = check.overlaps;
            String result =
                    "%d queries, %d served, %d ran at two engines at once"
                            .formatted(sent, served.get(), overlaps);
            record.line("result", result);
            System.out.println(result);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(overlaps > 0 ? 1 : served.get() > 0 ? 0 : 2);
    }

    private static boolean query(Dispatcher dispatcher, int number, Record record) throws Exception {
        String id = "%016x".formatted(0x46300000L + number);
        String who = "client-" + number;
        try (Client client = new Client(dispatcher.address())) {
            record.line(who, "sends " + id);
            Client.Answer answer =
                    client.query(
                            ("/* kind=quick-check,req=%s,timeout=7000,owner=tamar-property,ms=1200.0,ram=96 */"
                                            + " SELECT day, n, note FROM sales_%d.orders WHERE tag = 'work=1200 rows=20'")
                                    .formatted(id, number % 20),
                            8000);
            record.line(who, id + " " + answer.summary());
            return answer.tag() != null;
        }
    }
}
