import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send several commands at once, and the next ones before all of them are answered. */
public final class Case9 {
    private static final int CLIENTS = 3;
    private static final int BATCHES = 8;
    private static final int COMMANDS = 5;
    private static final double BATCH_INTERVAL_SECONDS = 1.0;
    private static final int TIMEOUT_MILLIS = 2500;
    private static final double WORK_SECONDS = 0.4;
    // STANDING: up to half a second after its time an answer only earns nothing, later the request
    // is lost; PROTOCOL: every time limit is 50 ms longer.
    private static final double LATE_SECONDS = 0.5 + 0.05;

    private record Command(String id, double sentAt) {}

    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger BROKEN = new AtomicInteger();

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
            engines.add(lab.engine(i, head -> Lab.Plan.ok(WORK_SECONDS)));
        }
        Lab.Grade check =
                new Lab.Grade(
                        "quick-check", "repeatable", 1.5, 2.5,
                        ",\"aim_stretch\":1.5,\"late_worth\":0.3,\"worth\":1.0", 1);
        int port = Lab.freePort();
        lab.start(
                "n1",
                port,
                lab.write("config.json", Lab.config(List.of(check), engines, lab.bus())));
        InetSocketAddress address = new InetSocketAddress(Lab.LOOPBACK, port);
        lab.awaitServing(address, 30);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            if (lab.trouble) {
                threads.add(Lab.daemon(() -> sendAtOnce(lab, address)));
            } else {
                threads.addAll(sendOneByOne(lab, address));
            }
        }
        for (Thread thread : threads) {
            thread.join(60_000);
        }
        lab.say(
                "sent %d, served %d, refused or failed %d, without an answer 0.55 s after their time %d, broken sessions %d"
                        .formatted(SENT.get(), SERVED.get(), REFUSED.get(), LOST.get(), BROKEN.get()));
        if (SERVED.get() < 10 || BROKEN.get() > 0 && LOST.get() == 0) {
            return 2;
        }
        return LOST.get() > 0 ? 1 : 0;
    }

    private static String text(String id) {
        return Lab.text("quick-check", id, TIMEOUT_MILLIS, WORK_SECONDS * 1000, "");
    }

    /** All commands of a batch in one go on one session, and a batch each second. */
    private static void sendAtOnce(Lab lab, InetSocketAddress address) throws IOException {
        Lab.Client client = new Lab.Client(address, 10_000);
        List<Command> sent = new CopyOnWriteArrayList<>();
        AtomicBoolean hasLeft = new AtomicBoolean();
        Lab.daemon(
                () -> {
                    for (int batch = 0; batch < BATCHES && !hasLeft.get(); batch++) {
                        for (int i = 0; i < COMMANDS; i++) {
                            String id = Lab.newId();
                            SENT.incrementAndGet();
                            lab.note("client sends " + id);
                            double sentAt = Lab.now();
                            client.write(text(id));
                            sent.add(new Command(id, sentAt));
                        }
                        Lab.sleep(BATCH_INTERVAL_SECONDS);
                    }
                });
        for (int i = 0; i < BATCHES * COMMANDS; i++) {
            while (sent.size() <= i) {
                Lab.sleep(0.005);
            }
            Command command = sent.get(i);
            double latest = command.sentAt() + TIMEOUT_MILLIS / 1e3 + LATE_SECONDS;
            client.socket.setSoTimeout((int) Math.max(1, Math.ceil((latest - Lab.now()) * 1e3)));
            try {
                Lab.Answer answer = client.read();
                if (answer.kind().equals("closed") || answer.text().endsWith("(closed)")) {
                    lab.note("the session was closed: " + answer);
                    BROKEN.incrementAndGet();
                    break;
                }
                judge(lab, command, answer);
            } catch (SocketTimeoutException e) {
                // Lost. The client stops waiting: nothing is owed for what it has sent behind.
                hasLeft.set(true);
                LOST.incrementAndGet();
                lab.note("client has no answer for %s, LOST; it cancels".formatted(command.id()));
                client.cancel();
                Lab.sleep(0.5);
                break;
            }
        }
        hasLeft.set(true);
        client.close();
    }

    /** The same commands at the same times, each on a session of its own. */
    private static List<Thread> sendOneByOne(Lab lab, InetSocketAddress address) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            for (int batch = 0; batch < BATCHES; batch++) {
                double delay = batch * BATCH_INTERVAL_SECONDS;
                threads.add(
                        Lab.daemon(
                                () -> {
                                    Lab.sleep(delay);
                                    try (Lab.Client client = new Lab.Client(address, 10_000)) {
                                        Command command = new Command(Lab.newId(), Lab.now());
                                        SENT.incrementAndGet();
                                        lab.note("client sends " + command.id());
                                        judge(lab, command, client.query(text(command.id())));
                                    }
                                }));
            }
        }
        return threads;
    }

    private static void judge(Lab lab, Command command, Lab.Answer answer) {
        double seconds = answer.at() - command.sentAt();
        boolean lost = seconds > TIMEOUT_MILLIS / 1e3 + LATE_SECONDS;
        lab.note(
                "client gets %s: %s %s, %.3f s after it was sent%s"
                        .formatted(
                                command.id(),
                                answer.kind(),
                                answer.code(),
                                seconds,
                                lost ? ", LOST" : ""));
        if (lost) {
            LOST.incrementAndGet();
        } else if (answer.isServed()) {
            SERVED.incrementAndGet();
        } else {
            REFUSED.incrementAndGet();
        }
    }
}
