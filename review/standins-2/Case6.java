import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A bad client writes one message that cannot be read, while usual clients are served. */
public final class Case6 {
    private static final int CLIENTS = 6;
    private static final int TIMEOUT_MILLIS = 2500;
    private static final double SECONDS = 10;
    private static final double BAD_CLIENT_AT = 4;
    private static final double RESEND_SECONDS = 0.05;
    // STANDING: up to half a second after its time an answer only earns nothing; PROTOCOL: each
    // time limit is 50 ms longer.
    private static final double LATE_SECONDS = 0.5 + 0.05;

    private record Sent(String id, double at, double answeredAt, String what) {}

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
            engines.add(lab.engine(i, head -> Lab.Plan.ok(0.08)));
        }
        Lab.Bus bus = lab.bus();
        Lab.Grade lookup =
                new Lab.Grade(
                        "seat-lookup", "repeatable", 0.5, 2.5,
                        ",\"aim_stretch\":1.5,\"late_worth\":0.3,\"worth\":1.0", 1);
        int port = Lab.freePort();
        Lab.Dispatcher dispatcher =
                lab.start(
                        "n1",
                        port,
                        lab.write("config.json", Lab.config(List.of(lookup), engines, bus)));
        InetSocketAddress address = new InetSocketAddress(Lab.LOOPBACK, port);
        lab.awaitServing(address, 30);
        List<Sent> sent = new CopyOnWriteArrayList<>();
        double begin = Lab.now();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            threads.add(Lab.daemon(() -> serveUser(lab, address, begin + SECONDS, sent)));
        }
        Lab.sleep(begin + BAD_CLIENT_AT - Lab.now());
        if (lab.trouble) {
            // One message of the wire protocol, under 64 KB, with no fields: it cannot be read.
            String unreadable = "show x" + " ".repeat(64_000) + "!";
            Lab.daemon(
                    () -> {
                        try (Lab.Client bad = new Lab.Client(address, 110_000)) {
                            bad.write(unreadable);
                            lab.note("the bad client has written its message");
                            Lab.Answer answer = bad.read();
                            lab.note(
                                    "the bad client gets "
                                            + answer.kind()
                                            + " "
                                            + answer.code()
                                            + " "
                                            + answer.text());
                        }
                    });
        }
        for (Thread thread : threads) {
            thread.join();
        }
        boolean alive = dispatcher.isAlive();
        long lost =
                sent.stream()
                        .filter(
                                one ->
                                        !(one.answeredAt()
                                                <= one.at() + TIMEOUT_MILLIS / 1e3 + LATE_SECONDS))
                        .count();
        long served = sent.stream().filter(one -> one.what().startsWith("served")).count();
        lab.say(
                "requests of usual clients: "
                        + sent.size()
                        + ", served "
                        + served
                        + ", without a final answer half a second after their time: "
                        + lost
                        + "; the dispatcher "
                        + dispatcher.ending());
        if (served < 50) {
            lab.say("too few requests were served for a verdict");
            return lost > 0 ? 1 : 2;
        }
        return lost > 0 || !alive ? 1 : 0;
    }

    /** A usual client: one query after the other on its session. */
    private static void serveUser(
            Lab lab, InetSocketAddress address, double until, List<Sent> sent) throws IOException {
        Lab.Client client = new Lab.Client(address, 2000);
        while (Lab.now() < until) {
            String id = Lab.newId();
            client.socket.setSoTimeout(TIMEOUT_MILLIS + (int) (LATE_SECONDS * 1000) + 100);
            double at = Lab.now();
            lab.note("client sends " + id);
            String what;
            try {
                Lab.Answer answer =
                        client.query(Lab.text("seat-lookup", id, TIMEOUT_MILLIS, 80, ""));
                what = answer.kind() + " " + answer.code();
                if (answer.kind().equals("closed") && answer.at() < at + RESEND_SECONDS) {
                    // it crossed a close: sent again, once, on a new connection
                    client.close();
                    client = new Lab.Client(address, 2000);
                    client.socket.setSoTimeout(TIMEOUT_MILLIS + (int) (LATE_SECONDS * 1000) + 100);
                    answer = client.query(Lab.text("seat-lookup", id, TIMEOUT_MILLIS, 80, ""));
                    what = answer.kind() + " " + answer.code();
                }
                boolean lost = answer.kind().equals("closed");
                sent.add(new Sent(id, at, lost ? Double.NaN : answer.at(), what));
                lab.note("client gets " + id + ": " + what);
                if (lost) {
                    client.close();
                    client = new Lab.Client(address, 2000);
                }
            } catch (SocketTimeoutException e) {
                sent.add(new Sent(id, at, Double.NaN, "nothing"));
                lab.note("client gets " + id + ": nothing");
                return; // the client has long given up
            }
            Lab.sleep(0.05);
        }
        client.close();
    }
}
