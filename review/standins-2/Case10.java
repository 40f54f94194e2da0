import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The event bus breaks off and is slow to answer afterwards, while an engine begins to drain. */
public final class Case10 {
    private static final int CLIENTS = 6;
    private static final double SECONDS_TO_FIRST_FRAME = 5.5;
    private static final double SECONDS_AFTER_DRAIN = 25;
    // PROTOCOL: what the event bus has to tell counts as told 7 s later at the latest; the settings:
    // drain_grace_s is 1; every time limit is 50 ms longer.
    private static final double LATEST_SEND_SECONDS = 7 + 1 + 0.05;
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static volatile boolean ending;

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
            engines.add(lab.engine(i, head -> Lab.Plan.ok(0.1)));
        }
        Lab.Grade check =
                new Lab.Grade(
                        "quick-check", "repeatable", 1.5, 7.5,
                        ",\"aim_stretch\":1.5,\"late_worth\":0.1,\"worth\":1.0", 1);
        Lab.Bus bus = lab.bus();
        int port = Lab.freePort();
        lab.start("n1", port, lab.write("config.json", Lab.config(List.of(check), engines, bus)));
        InetSocketAddress address = new InetSocketAddress(Lab.LOOPBACK, port);
        lab.awaitServing(address, 30);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            threads.add(Lab.daemon(() -> serveUser(lab, address)));
        }
        Lab.sleep(4);
        if (lab.trouble) {
            bus.breakOff(SECONDS_TO_FIRST_FRAME);
        }
        Lab.sleep(0.5);
        Lab.Engine draining = engines.get(0);
        bus.tell(draining, 1);
        double toldAt = Lab.now();
        Lab.sleep(SECONDS_AFTER_DRAIN);
        ending = true;
        for (Thread thread : threads) {
            thread.join(9000);
        }
        long late =
                draining.runs.stream()
                        .filter(run -> run.begunAt > toldAt + LATEST_SEND_SECONDS)
                        .count();
        double last = draining.runs.stream().mapToDouble(run -> run.begunAt).max().orElse(0);
        lab.say(
                "served %d; the draining engine got %d attempts more than 8.05 s after the event bus had its drain, the last one %.2f s after"
                        .formatted(SERVED.get(), late, last - toldAt));
        if (SERVED.get() < 100) {
            lab.say("too little was served for a verdict");
            return 2;
        }
        return late > 0 ? 1 : 0;
    }

    private static void serveUser(Lab lab, InetSocketAddress address) throws IOException {
        Lab.Client client = new Lab.Client(address, 9000);
        while (!ending) {
            String id = Lab.newId();
            lab.note("client sends " + id);
            Lab.Answer answer = client.query(Lab.text("quick-check", id, 7500, 100, ""));
            lab.note("client gets " + id + ": " + answer.kind() + " " + answer.code());
            if (answer.isServed()) {
                SERVED.incrementAndGet();
            } else if (answer.kind().equals("closed")) {
                client.close();
                client = new Lab.Client(address, 9000);
            }
            Lab.sleep(0.15);
        }
        client.close();
    }
}
