import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Some first pages of engines have a Content-Length that ends before their last rows. */
public final class Case7 {
    private static final int QUERIES = 160;
    private static final int PAGES = 4;
    private static final int ROWS_IN_PAGE = 80;
    private static final double SPOILT_SHARE = 0.25;
    private static final double SECOND_PIECE_AFTER_SECONDS = 0.001;

    public static void main(String[] args) throws Exception {
        try (Lab lab = new Lab(args[0])) {
            System.exit(run(lab));
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            System.exit(2);
        }
    }

    /** The rows of a result, in pages of under 6,000 bytes. */
    private static List<byte[]> pages(String id) {
        List<byte[]> pages = new ArrayList<>();
        for (int page = 0; page < PAGES; page++) {
            StringBuilder text = new StringBuilder();
            for (int row = 0; row < ROWS_IN_PAGE; row++) {
                int number = page * ROWS_IN_PAGE + row;
                text.append("day-%03d\t%d\t%s\n".formatted(number, number * 7, id));
            }
            pages.add(text.toString().getBytes(StandardCharsets.UTF_8));
        }
        return pages;
    }

    private static int run(Lab lab) throws Exception {
        SplittableRandom random = new SplittableRandom(53);
        AtomicInteger spoilt = new AtomicInteger();
        List<Lab.Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            Lab.Engine engine =
                    lab.engine(i, head -> new Lab.Plan(0.02, 200, pages(head.get("x-txn"))));
            engine.answerWriter =
                    (out, answer) -> {
                        boolean isFirstPage =
                                new String(answer, StandardCharsets.ISO_8859_1)
                                        .contains("X-Fetches:");
                        boolean spoils;
                        synchronized (random) {
                            spoils =
                                    lab.trouble
                                            && isFirstPage
                                            && random.nextDouble() < SPOILT_SHARE;
                        }
                        write(lab, engine, out, answer, spoils ? spoilt : null);
                    };
            engines.add(engine);
        }
        Lab.Grade check =
                new Lab.Grade(
                        "quick-check", "repeatable", 1.5, 7.5,
                        ",\"aim_stretch\":1.5,\"late_worth\":0.1,\"worth\":1.0", 1);
        int port = Lab.freePort();
        lab.start(
                "n1",
                port,
                lab.write("config.json", Lab.config(List.of(check), engines, lab.bus())));
        InetSocketAddress address = new InetSocketAddress(Lab.LOOPBACK, port);
        lab.awaitServing(address, 30);
        int served = 0;
        int wrong = 0;
        int notServed = 0;
        Lab.Client client = new Lab.Client(address, 9000);
        for (int i = 0; i < QUERIES; i++) {
            String id = Lab.newId();
            Lab.Answer answer = client.query(Lab.text("quick-check", id, 7500, 20, ""));
            if (answer.kind().equals("closed")) {
                client = new Lab.Client(address, 9000);
            }
            List<String> expected = new ArrayList<>();
            for (byte[] page : pages(id)) {
                expected.addAll(List.of(new String(page, StandardCharsets.UTF_8).split("\n")));
            }
            boolean isWrong = answer.isServed() && !answer.rows().equals(expected);
            lab.note(
                    "client gets %s: %s %s, %d of %d rows%s"
                            .formatted(
                                    id,
                                    answer.kind(),
                                    answer.code(),
                                    answer.rows().size(),
                                    expected.size(),
                                    isWrong ? ", WRONG" : ""));
            served += answer.isServed() ? 1 : 0;
            notServed += answer.isServed() ? 0 : 1;
            wrong += isWrong ? 1 : 0;
            Lab.sleep(0.02);
        }
        client.query("SHOW COUNTERS").rows().stream()
                .filter(row -> row.startsWith("engines\tgarbled"))
                .forEach(row -> lab.note("counter of the dispatcher: " + row));
        lab.say(
                "first pages spoilt %d; queries served %d, of these without all their rows %d; not served %d"
                        .formatted(spoilt.get(), served, wrong, notServed));
        if (served < 20 || lab.trouble && spoilt.get() < 10) {
            lab.say("too little for a verdict");
            return 2;
        }
        return wrong > 0 ? 1 : 0;
    }

    /**
     * Writes an answer in two pieces, the second one a millisecond after the first; a spoilt one
     * declares the length of its first piece.
     */
    private static void write(
            Lab lab, Lab.Engine engine, OutputStream out, byte[] answer, AtomicInteger spoilt)
            throws IOException {
        String text = new String(answer, StandardCharsets.ISO_8859_1);
        int bodyAt = text.indexOf("\r\n\r\n") + 4;
        int half = text.indexOf('\n', bodyAt + (answer.length - bodyAt) / 2) + 1;
        if (!text.startsWith("HTTP/1.1 200") || half <= bodyAt || half >= answer.length) {
            out.write(answer);
            return;
        }
        String head = text.substring(0, bodyAt);
        if (spoilt != null) {
            spoilt.incrementAndGet();
            head =
                    head.replaceFirst(
                            "Content-Length: \\d+", "Content-Length: " + (half - bodyAt));
            lab.note(
                    engine.name()
                            + " has an answer spoilt: "
                            + (half - bodyAt)
                            + " bytes declared, "
                            + (answer.length - bodyAt)
                            + " written");
        }
        out.write((head + text.substring(bodyAt, half)).getBytes(StandardCharsets.ISO_8859_1));
        Lab.sleep(SECOND_PIECE_AFTER_SECONDS);
        out.write(text.substring(half).getBytes(StandardCharsets.ISO_8859_1));
    }
}
