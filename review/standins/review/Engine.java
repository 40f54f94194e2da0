package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An engine as PROTOCOL describes it, "Dispatchers to engines". A statement tells its work and its
 * rows by the text {@code work=MS rows=N}; the rows are those of {@link #rowsOf}. A query runs until
 * it ends, is deleted or was not asked for in 2 s.
 */
public final class Engine implements AutoCloseable {
    /** Changes the bytes of an answer, or returns it as several pieces that are written apart. */
    public interface Wire {
        List<byte[]> pieces(String call, byte[] answer);
    }

    /** Sessions of an engine of 12 cores: 6 a core, the least that the site's page tells. */
    public static final int SESSIONS = 72;

    private static final int CORES = 12;
    private static final int PAGE_BYTES = 6000;
    private static final long LONG_POLL_MILLIS = 250;
    private static final long EXPIRY_MILLIS = 2000;
    private static final Pattern STATEMENT = Pattern.compile("work=(\\d+) rows=(\\d+)");

    private static final class Run {
        List<byte[]> pages;
        long endsAt;
        long askedAt;
        boolean ended;
        boolean deleted;
    }

    private final String name;
    private final Record record;
    private final Wire wire;
    private final ServerSocket server;
    private final List<Socket> connections = new ArrayList<>();
    private final Map<String, Run> runs = new HashMap<>();
    private volatile boolean closed;
    private volatile boolean full;
    private int posts;
    private RunListener runListener;

    public Engine(String name, Record record, Wire wire) throws IOException {
        this.name = name;
        this.record = record;
        this.wire = wire;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
        daemon(this::expire);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Sets whether other dispatchers' queries take every session that is free. */
    public void setFull(boolean isFull) {
        full = isFull;
        record.line(
                name,
                "other dispatchers' queries "
                        + (isFull ? "take every free one of " + SESSIONS + " sessions" : "have ended"));
    }

    /** The number of starts of queries that have arrived whole. */
    public int posts() {
        synchronized (runs) {
            return posts;
        }
    }

    /**
     * Lets the engine hang: all that it does stands still, and what waits goes on in no certain
     * order, as each connection is served on its own.
     */
    public void hang(double seconds) {
        daemon(
                () -> {
                    synchronized (runs) {
                        record.line(name, "hangs for " + seconds + " s");
                        sleep((long) (seconds * 1000));
                        record.line(name, "goes on");
                    }
                });
    }

    /** Called with the id when a query starts and when it ends, is deleted or dropped. */
    public interface RunListener {
        void changed(Engine engine, String id, boolean runs);
    }

    public void setRunListener(RunListener listener) {
        runListener = listener;
    }

    private void report(String id, boolean running) {
        if (runListener != null) {
            runListener.changed(this, id, running);
        }
    }

    public String name() {
        return name;
    }

    private int sessions() {
        synchronized (runs) {
            return full ? SESSIONS : (int) runs.values().stream().filter(run -> !run.ended).count();
        }
    }

    /** The rows of a query, which its id and its statement determine. */
    public static List<String> rowsOf(String id, int count) {
        List<String> rows = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            rows.add("%s-%04d\t%d\tnote %d of %s %s".formatted(id, i, i * 17, i, id, "x".repeat(i % 40)));
        }
        return rows;
    }

    private static List<byte[]> pagesOf(List<String> rows) {
        List<byte[]> pages = new ArrayList<>();
        StringBuilder page = new StringBuilder();
        for (String row : rows) {
            if (page.length() + row.length() + 1 > PAGE_BYTES) {
                pages.add(page.toString().getBytes(StandardCharsets.ISO_8859_1));
                page.setLength(0);
            }
            page.append(row).append('\n');
        }
        pages.add(page.toString().getBytes(StandardCharsets.ISO_8859_1));
        return pages;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket connection = server.accept();
                connection.setTcpNoDelay(true);
                synchronized (connections) {
                    connections.add(connection);
                }
                daemon(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void expire() {
        while (!closed) {
            sleep(20);
            synchronized (runs) {
                long now = System.currentTimeMillis();
                runs.forEach(
                        (id, run) -> {
                            if (!run.ended && now >= run.endsAt) {
                                run.ended = true;
                                record.line(name, "ran " + id + " to its end");
                                report(id, false);
                                runs.notifyAll();
                            }
                        });
                runs.entrySet()
                        .removeIf(
                                entry -> {
                                    boolean expired =
                                            now - entry.getValue().askedAt > EXPIRY_MILLIS;
                                    if (expired && !entry.getValue().ended) {
                                        record.line(name, "dropped " + entry.getKey() + ", not asked for");
                                        report(entry.getKey(), false);
                                    }
                                    return expired;
                                });
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (String first = line(in); first != null && !first.isEmpty(); first = line(in)) {
                Map<String, String> fields = new HashMap<>();
                for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                    int colon = header.indexOf(':');
                    fields.put(
                            header.substring(0, colon).toLowerCase(Locale.ROOT),
                            header.substring(colon + 1).trim());
                }
                int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    return;
                }
                String call = first.replace(" HTTP/1.1", "");
                byte[] answer = answer(call, fields, new String(body, StandardCharsets.ISO_8859_1));
                for (byte[] piece : wire.pieces(call, answer)) {
                    out.write(piece);
                    out.flush();
                    sleep(1);
                }
            }
        } catch (IOException e) {
            // the dispatcher has closed or reset the connection
        } finally {
            synchronized (connections) {
                connections.remove(connection);
            }
        }
    }

    private byte[] answer(String call, Map<String, String> fields, String statement) {
        String[] words = call.split(" ");
        if (words[0].equals("POST")) {
            String id = fields.get("x-txn");
            Matcher matcher = STATEMENT.matcher(statement);
            if (!matcher.find()) {
                return head("500 Error", "", 0);
            }
            record.line(name, "has read POST " + id);
            synchronized (runs) {
                posts++;
                if (sessions() >= SESSIONS) {
                    record.line(name, "is full: turned away " + id);
                    return head("503 Full", "X-Unrun: 1\r\n", 0);
                }
                Run run = new Run();
                run.pages = pagesOf(rowsOf(id, Integer.parseInt(matcher.group(2))));
                run.askedAt = System.currentTimeMillis();
                run.endsAt = run.askedAt + Long.parseLong(matcher.group(1));
                runs.put(id, run);
                record.line(name, "starts " + id);
                report(id, true);
            }
            return news(id);
        }
        String[] path = words[1].split("/");
        String id = path[2];
        if (words[0].equals("DELETE")) {
            synchronized (runs) {
                Run run = runs.remove(id);
                if (run != null) {
                    run.deleted = true;
                    record.line(name, "deleted " + id);
                    report(id, false);
                    runs.notifyAll();
                }
            }
            return "HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        }
        return path[3].equals("0") ? news(id) : page(id, Integer.parseInt(path[3]));
    }

    private byte[] news(String id) {
        long until = System.currentTimeMillis() + LONG_POLL_MILLIS;
        synchronized (runs) {
            while (true) {
                Run run = runs.get(id);
                if (run == null) {
                    record.line(name, "answers 500, does not know " + id);
                    return head("500 Error", "", 0);
                }
                long now = System.currentTimeMillis();
                run.askedAt = now;
                if (run.ended) {
                    return join(
                            head(
                                    "200 OK",
                                    "X-Fetches: %d\r\nX-Effort: 120.0\r\nX-Footprint: 96\r\n"
                                            .formatted(run.pages.size()),
                                    run.pages.get(0).length),
                            run.pages.get(0));
                }
                if (now >= until) {
                    return head("202 Accepted", "", 0);
                }
                try {
                    runs.wait(Math.max(1, Math.min(until, run.endsAt) - now));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                if (System.currentTimeMillis() >= run.endsAt && !run.deleted && !run.ended) {
                    run.ended = true;
                    record.line(name, "ran " + id + " to its end");
                    report(id, false);
                }
            }
        }
    }

    private byte[] page(String id, int number) {
        synchronized (runs) {
            Run run = runs.get(id);
            if (run == null || !run.ended || number >= run.pages.size()) {
                return head("500 Error", "", 0);
            }
            run.askedAt = System.currentTimeMillis();
            byte[] body = run.pages.get(number);
            return join(head("200 OK", "X-Fetch: " + number + "\r\n", body.length), body);
        }
    }

    /** Every answer holds a load report. */
    private byte[] head(String status, String fields, int length) {
        String gauges =
                "X-Gauges: queue:0;util:%.2f\r\n".formatted(Math.min(1.0, sessions() / (double) CORES));
        return ("HTTP/1.1 " + status + "\r\n" + fields + gauges + "Content-Length: " + length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] join(byte[] first, byte[] second) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        joined.writeBytes(first);
        joined.writeBytes(second);
        return joined.toByteArray();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int c = in.read();
        for (; c >= 0 && c != '\n'; c = in.read()) {
            text.append((char) c);
        }
        return c < 0 && text.isEmpty() ? null : text.toString().trim();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        synchronized (connections) {
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }
}
