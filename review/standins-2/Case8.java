import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Loads of one key come on two sessions, the first of them right behind another command. */
public final class Case8 {
    private static final int KEYS = 5;
    private static final int ROUNDS = 6;
    private static final double CHECK_SECONDS = 1.0;
    private static final double LOAD_SECONDS = 0.2;
    // PROTOCOL: at least 60 ms between two requests of a key, 250 ms after a new connection.
    private static final double BETWEEN_LOADS_SECONDS = 0.35;
    private static final AtomicInteger SERVED = new AtomicInteger();

    /** When a load was written whole, by its id. */
    private static final Map<String, Double> TAKEN = new ConcurrentHashMap<>();

    private static final Map<String, String> KEY = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        try (Lab lab = new Lab(args[0])) {
            System.exit(run(lab));
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            System.exit(2);
        }
    }

    private static int run(Lab lab) throws Exception {
        List<Lab.Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            engines.add(
                    lab.engine(
                            i,
                            head ->
                                    Lab.Plan.ok(
                                            head.get("x-lane").equals("record-load")
                                                    ? LOAD_SECONDS
                                                    : CHECK_SECONDS)));
        }
        List<Lab.Grade> grades =
                List.of(
                        new Lab.Grade(
                                "quick-check", "repeatable", 1.5, 7.5,
                                ",\"aim_stretch\":1.5,\"late_worth\":0.1,\"worth\":1.0", 1),
                        new Lab.Grade(
                                "record-load", "by_key", 3.0, 20.0,
                                ",\"key_scope\":\"all\",\"window_s\":12.0,\"serial_by_key\":true,"
                                        + "\"aim_stretch\":2.5,\"late_worth\":0.6,\"worth\":5.0",
                                2));
        int port = Lab.freePort();
        lab.start("n1", port, lab.write("config.json", Lab.config(grades, engines, lab.bus())));
        InetSocketAddress address = new InetSocketAddress(Lab.LOOPBACK, port);
        lab.awaitServing(address, 30);
        List<Thread> threads = new ArrayList<>();
        for (int i = 1; i <= KEYS; i++) {
            String key = "%016x".formatted(0x7f3a9c2100000000L + i);
            threads.add(Lab.daemon(() -> useKey(lab, address, key)));
            Lab.sleep(0.15);
        }
        for (Thread thread : threads) {
            thread.join(90_000);
        }
        Lab.sleep(0.5);
        List<Lab.Run> runs = new ArrayList<>();
        engines.forEach(engine -> runs.addAll(engine.runs));
        runs.removeIf(run -> !TAKEN.containsKey(run.id));
        int wrong = 0;
        for (Lab.Run run : runs) {
            for (Lab.Run other : runs) {
                if (KEY.get(run.id).equals(KEY.get(other.id))
                        && TAKEN.get(run.id) < TAKEN.get(other.id)
                        && run.begunAt > other.begunAt) {
                    wrong++;
                    lab.say(
                            "key %s: load %s was written at %.3f and began at %.3f, after load %s, which was written at %.3f and began at %.3f"
                                    .formatted(
                                            KEY.get(run.id),
                                            run.id,
                                            TAKEN.get(run.id),
                                            run.begunAt,
                                            other.id,
                                            TAKEN.get(other.id),
                                            other.begunAt));
                }
            }
        }
        lab.say(
                "loads written %d, served %d; pairs of one key run in the wrong order: %d"
                        .formatted(TAKEN.size(), SERVED.get(), wrong));
        if (SERVED.get() < KEYS) {
            lab.say("too few loads were served for a verdict");
            return 2;
        }
        return wrong > 0 ? 1 : 0;
    }

    private static void useKey(Lab lab, InetSocketAddress address, String key)
            throws IOException {
        try (Lab.Client first = new Lab.Client(address, 25_000);
                Lab.Client second = new Lab.Client(address, 25_000);
                Lab.Client third = new Lab.Client(address, 25_000)) {
            // a first query on each session, so that no load comes on a new connection
            for (Lab.Client client : List.of(first, second, third)) {
                client.query("");
            }
            Lab.sleep(0.3);
            for (int round = 0; round < ROUNDS; round++) {
                Lab.Client loads = lab.trouble ? first : third;
                String check =
                        Lab.text("quick-check", Lab.newId(), 7500, CHECK_SECONDS * 1000, "");
                first.write(check);
                String older = write(lab, loads, key);
                Lab.sleep(BETWEEN_LOADS_SECONDS);
                String newer = write(lab, second, key);
                note(lab, newer, second.read());
                first.read();
                note(lab, older, loads.read());
                third.query(""); // no session rests for long
                Lab.sleep(BETWEEN_LOADS_SECONDS);
            }
        }
    }

    private static String write(Lab lab, Lab.Client client, String key) throws IOException {
        String id = Lab.newId();
        client.write(
                Lab.text(
                        "record-load",
                        id,
                        20_000,
                        LOAD_SECONDS * 1000,
                        ",opkey=" + id + id + ",subject=" + key));
        KEY.put(id, key);
        TAKEN.put(id, Lab.now());
        lab.note("client has written load " + id + " of key " + key);
        return id;
    }

    private static void note(Lab lab, String id, Lab.Answer answer) {
        lab.note("client gets " + id + ": " + answer.kind() + " " + answer.code() + " " + answer.text());
        if (answer.isServed()) {
            SERVED.incrementAndGet();
        }
    }
}
