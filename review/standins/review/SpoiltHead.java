package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: noise in the head of a good answer. One in four first pages arrives with one letter of one
 * field's name changed, so that this field is missing; all else of the answer is as the engine made
 * it. A client must get all rows, an error or a refusal.
 */
public final class SpoiltHead {
    private static final int QUERIES = 120;
    private static final int CLIENTS = 4;
    private static final int ROWS = 260; // some 20,000 bytes: four pages

    private SpoiltHead() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        try (Record record = new Record(Path.of(args[1]))) {
            Random random = new Random(46);
            Engine.Wire wire =
                    (call, answer) ->
                            trouble ? List.of(spoil(call, answer, random, record)) : List.of(answer);
            List<Engine> engines = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                engines.add(new Engine("engine-" + i, record, wire));
            }
            ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
            try (Dispatcher dispatcher = new Dispatcher(root, 1, engines, record)) {
                List<Future<?>> futures = new ArrayList<>();
                for (int c = 0; c < CLIENTS; c++) {
                    int first = c;
                    futures.add(
                            clients.submit(
                                    () -> {
                                        run(dispatcher, first, record, served, broken);
                                        return null;
                                    }));
                }
                for (Future<?> future : futures) {
                    future.get();
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
            record.line(
                    "result",
                    "%d queries, %d served whole, %d served with rows missing"
                            .formatted(QUERIES, served.get(), broken.get()));
            System.out.printf(
                    "%d queries, %d served whole, %d served with rows missing%n",
                    QUERIES, served.get(), broken.get());
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(broken.get() > 0 ? 1 : served.get() > 0 ? 0 : 2);
    }

    private static void run(
            Dispatcher dispatcher,
            int first,
            Record record,
            AtomicInteger served,
            AtomicInteger broken)
            throws Exception {
        try (Client client = new Client(dispatcher.address())) {
            for (int i = first; i < QUERIES; i += CLIENTS) {
                String id = "%016x".formatted(0x46000000L + i);
                String sql =
                        ("/* kind=full-report,req=%s,timeout=25000,owner=tamar-property,ms=200.0,ram=96 */"
                                        + " SELECT day, n, note FROM sales_17.orders WHERE tag = 'work=50 rows=%d'")
                                .formatted(id, ROWS);
                record.line("client-" + first, "sends " + id);
                Client.Answer answer = client.query(sql, 26000);
                boolean whole = answer.rows().equals(Engine.rowsOf(id, ROWS));
                record.line(
                        "client-" + first,
                        id + " " + answer.summary() + (answer.tag() != null && !whole ? " WRONG, the engine made " + ROWS : ""));
                if (answer.tag() != null) {
                    (whole ? served : broken).incrementAndGet();
                }
            }
        }
    }

    private static byte[] spoil(String call, byte[] answer, Random random, Record record) {
        String text = new String(answer, StandardCharsets.ISO_8859_1);
        synchronized (random) {
            if (!text.startsWith("HTTP/1.1 200") || !text.contains("X-Fetches") || random.nextInt(4) > 0) {
                return answer;
            }
            String[] lines = text.substring(0, text.indexOf("\r\n\r\n")).split("\r\n");
            String line = lines[1 + random.nextInt(lines.length - 1)];
            int letter = text.indexOf(line) + random.nextInt(line.indexOf(':'));
            byte[] spoilt = answer.clone();
            spoilt[letter] = (byte) (answer[letter] == 'q' ? 'z' : 'q');
            record.line(
                    "noise",
                    call + ": "
                            + line
                            + " arrives as "
                            + new String(
                                    spoilt, text.indexOf(line), line.length(), StandardCharsets.ISO_8859_1));
            return spoilt;
        }
    }
}
