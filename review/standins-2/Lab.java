import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Stand-ins for the cases of the second review: engines, event bus, clients and the platform that
 * starts dispatchers by the deploy file's command. They follow the pages PROTOCOL, DEPLOY and DAYS;
 * all addresses are loopback addresses. Times in the record are seconds since the case began.
 */
public final class Lab implements Closeable {
    public static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long START = System.nanoTime();

    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    public final Path folder;
    private final PrintWriter record;
    private final List<Closeable> parts = new CopyOnWriteArrayList<>();
    private final List<Dispatcher> dispatchers = new CopyOnWriteArrayList<>();

    /** Starts a case; the record is written to {@code record.txt} in the folder of the case. */
    public Lab(String caseFolder) throws IOException {
        folder = Files.createTempDirectory("review-case");
        record =
                new PrintWriter(
                        Files.newBufferedWriter(Path.of(caseFolder).resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        note("case begins; trouble=" + (trouble ? 1 : 0));
    }

    /** Seconds since the case began. */
    public static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    public void note(String line) {
        String text = String.format("%8.3f %s", now(), line);
        synchronized (record) {
            record.println(text);
        }
    }

    /** Writes a line to the record and to standard output. */
    public void say(String line) {
        note(line);
        System.out.println(line);
    }

    public static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static Thread daemon(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // the peer has left
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public interface IoTask {
        void run() throws IOException;
    }

    private void end() {
        dispatchers.forEach(Dispatcher::kill);
        for (Closeable part : parts) {
            try {
                part.close();
            } catch (IOException e) {
                // closed already
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // the folder is temporary anyway
        }
    }

    @Override
    public void close() {
        end();
    }

    // ---- configuration ----

    /** A class of the settings. */
    public record Grade(
            String name, String effect, double goal, double deadline, String more, int threads) {
        String json() {
            return "{\"name\":\"%s\",\"effect\":\"%s\",\"goal_time_s\":%s,\"deadline_s\":%s%s}"
                    .formatted(name, effect, goal, deadline, more);
        }
    }

    /** The engines as the event bus lists them at the start. */
    public static String known(List<Engine> engines) {
        List<String> members = new ArrayList<>();
        for (Engine engine : engines) {
            members.add(engine.json());
        }
        return ("{\"offset\":1,\"batch\":[{\"offset\":1,\"topology\":{\"revision\":1,"
                        + "\"complete\":true,\"members\":[%s]}}]}")
                .formatted(String.join(",", members));
    }

    /** A configuration like that of the example on the page WIRE. */
    public static String config(List<Grade> grades, List<Engine> engines, Bus bus) {
        List<String> threads = new ArrayList<>();
        List<String> json = new ArrayList<>();
        grades.forEach(grade -> threads.add(Integer.toString(grade.threads())));
        grades.forEach(grade -> json.add(grade.json()));
        return """
        {"name":"n1","listen":"127.0.0.1:0","seed":"%016x",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},%s
         "known":%s,
         "settings":{"balancers":1,"dcs":["hobart"],"kinds":["std-12"],
          "family_info":{"class_threads":[%s],"size_cores":[12],"size_mb":[24576]},
          "grades":[%s],
          "guarantees":{"ask_within_s":10.0,"cold_from":0.31,"drain_grace_s":1.0,
           "fall_multiple":3.0,"fall_s":3.0,"grace_to_answer_s":0.02,"order_settle_s":0.5,
           "warm_within_s":15.0},
          "limits":{"cancel":true,"try_limit":6,"retry_after":true,"max_retry_after_s":0.5,
           "dial_timeout_s":0.25,"conn_idle_s":30.0,"second_copies":false},
          "registry_mode":"push",
          "telemetry":{"via":"inline","fields":["q","busy"]}}}
        """
                .formatted(
                        System.nanoTime(),
                        bus == null ? "" : "\"bus\":\"127.0.0.1:" + bus.port() + "\",",
                        known(engines),
                        String.join(",", threads),
                        String.join(",", json));
    }

    // ---- engines ----

    /** What an engine does with a query: how long it works, and the status at the end. */
    public record Plan(double seconds, int status, List<byte[]> pages) {
        public static Plan ok(double seconds) {
            return new Plan(
                    seconds,
                    200,
                    List.of("mon\t1\tnote\ntue\t2\tnote\n".getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Writes a good answer of an engine, or one that is spoilt on the way. */
    public interface AnswerWriter {
        void write(OutputStream out, byte[] answer) throws IOException;
    }

    /** A query that an engine was given. */
    public static final class Run {
        public final Engine engine;
        public final String id;
        public final String lane;
        public final String dedupe;
        public final String statement;
        public final double begunAt = now();
        public volatile double endedAt = Double.NaN;
        public volatile String ending = "";
        volatile double lastAskedAt = now();
        final Plan plan;

        Run(Engine engine, Map<String, String> head, String statement, Plan plan) {
            this.engine = engine;
            id = head.get("x-txn");
            lane = head.get("x-lane");
            dedupe = head.get("x-dedupe");
            this.statement = statement;
            this.plan = plan;
        }

        synchronized void end(String how) {
            if (Double.isNaN(endedAt)) {
                endedAt = now();
                ending = how;
                engine.lab.note(engine.name() + " ends " + id + ": " + how);
                notifyAll();
            }
        }

        boolean hasEnded() {
            return !Double.isNaN(endedAt);
        }
    }

    /** An engine of the page PROTOCOL, "Dispatchers to engines". */
    public static final class Engine implements Closeable {
        private static final double LONG_POLL_SECONDS = 0.25;
        private static final double EXPIRY_SECONDS = 2.0;
        final Lab lab;
        public final long number;
        private final ServerSocket server;
        private final Function<Map<String, String>, Plan> plans;
        private final Map<String, Run> known = new ConcurrentHashMap<>();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        public final List<Run> runs = new CopyOnWriteArrayList<>();
        public volatile AnswerWriter answerWriter = OutputStream::write;

        Engine(Lab lab, long number, Function<Map<String, String>, Plan> plans)
                throws IOException {
            this.lab = lab;
            this.number = number;
            this.plans = plans;
            server = new ServerSocket(0, 256, LOOPBACK);
            daemon(
                    () -> {
                        while (true) {
                            Socket socket = server.accept();
                            sockets.add(socket);
                            daemon(() -> serve(socket));
                        }
                    });
            daemon(this::expire);
        }

        public String name() {
            return String.format("s-%08x", number);
        }

        public int port() {
            return server.getLocalPort();
        }

        String json() {
            return ("{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"hobart\","
                            + "\"flavor\":\"std-12\",\"cell\":0,\"phase\":\"Ready\",\"size\":12.0,"
                            + "\"up_since_ms\":0}")
                    .formatted(name(), port());
        }

        private void expire() {
            while (!server.isClosed()) {
                sleep(0.05);
                for (Run run : known.values()) {
                    if (!run.hasEnded() && now() > run.lastAskedAt + EXPIRY_SECONDS) {
                        known.remove(run.id, run);
                        run.end("not asked for");
                    }
                }
            }
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                DataInputStream in = new DataInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (String line = readLine(in); line != null; line = readLine(in)) {
                    Map<String, String> head = new HashMap<>();
                    for (String next = readLine(in); !next.isEmpty(); next = readLine(in)) {
                        int colon = next.indexOf(':');
                        head.put(
                                next.substring(0, colon).toLowerCase(),
                                next.substring(colon + 1).trim());
                    }
                    byte[] body =
                            in.readNBytes(
                                    Integer.parseInt(head.getOrDefault("content-length", "0")));
                    String[] words = line.split(" ");
                    answerWriter.write(
                            out,
                            answer(
                                    words[0],
                                    words[1],
                                    head,
                                    new String(body, StandardCharsets.ISO_8859_1)));
                }
            } finally {
                sockets.remove(socket);
            }
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                if (b != '\r') {
                    line.write(b);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        private byte[] answer(
                String method, String path, Map<String, String> head, String statement) {
            if (method.equals("POST")) {
                Plan plan = plans.apply(head);
                if (plan.status() == 503) {
                    lab.note(name() + " is full for " + head.get("x-txn"));
                    return reply("503 Full", "X-Unrun: 1\r\n", new byte[0]);
                }
                Run run = new Run(this, head, statement, plan);
                lab.note(name() + " begins " + run.id + " (" + run.lane + ")");
                runs.add(run);
                known.put(run.id, run);
                daemon(
                        () -> {
                            sleep(plan.seconds());
                            run.end(plan.status() == 200 ? "done" : "error");
                        });
                return news(run);
            }
            String[] parts = path.split("/");
            Run run = known.get(parts[2]);
            if (run == null) {
                return reply("500 Error", "", new byte[0]);
            }
            if (method.equals("DELETE")) {
                known.remove(run.id, run);
                run.end("given up");
                return "HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            }
            int page = parts.length > 3 ? Integer.parseInt(parts[3]) : 0;
            if (page > 0) {
                run.lastAskedAt = now();
                return run.ending.equals("done") && page < run.plan.pages().size()
                        ? reply("200 OK", "X-Fetch: " + page + "\r\n", run.plan.pages().get(page))
                        : reply("500 Error", "", new byte[0]);
            }
            return news(run);
        }

        private static byte[] reply(String status, String headers, byte[] body) {
            byte[] head =
                    ("HTTP/1.1 "
                                    + status
                                    + "\r\nX-Gauges: q:0;busy:0.2\r\n"
                                    + headers
                                    + "Content-Length: "
                                    + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
            return ByteBuffer.allocate(head.length + body.length).put(head).put(body).array();
        }

        private byte[] news(Run run) {
            run.lastAskedAt = now();
            synchronized (run) {
                double until = now() + LONG_POLL_SECONDS;
                try {
                    while (!run.hasEnded() && now() < until) {
                        TimeUnit.MILLISECONDS.timedWait(
                                run, Math.max(1, Math.round((until - now()) * 1000)));
                    }
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            run.lastAskedAt = now();
            if (!run.hasEnded()) {
                return reply("202 Accepted", "", new byte[0]);
            }
            return run.ending.equals("done")
                    ? reply(
                            "200 OK",
                            "X-Fetches: "
                                    + run.plan.pages().size()
                                    + "\r\nX-Effort: "
                                    + Math.round(run.plan.seconds() * 1000)
                                    + "\r\nX-Footprint: 64\r\n",
                            run.plan.pages().get(0))
                    : reply("500 Error", "", new byte[0]);
        }

        /** Ends as a killed process does: resets connections and refuses new ones. */
        public void crash() throws IOException {
            lab.note(name() + " dies");
            server.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            known.values().forEach(run -> run.end("engine died"));
            known.clear();
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    public Engine engine(long number, Function<Map<String, String>, Plan> plans)
            throws IOException {
        Engine engine = new Engine(this, number, plans);
        parts.add(engine);
        return engine;
    }

    // ---- event bus ----

    /** An event bus of the page PROTOCOL: all events so far, an empty frame each second. */
    public static final class Bus implements Closeable {
        private final Lab lab;
        private final ServerSocket server;
        private final List<byte[]> events = new ArrayList<>(); // from number 2 on
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();

        Bus(Lab lab) throws IOException {
            this.lab = lab;
            server = new ServerSocket(0, 256, LOOPBACK);
            daemon(
                    () -> {
                        while (true) {
                            Socket socket = server.accept();
                            sockets.add(socket);
                            daemon(() -> serve(socket));
                        }
                    });
        }

        public int port() {
            return server.getLocalPort();
        }

        /** Tells a change of one engine; 0 ready, 1 draining, 2 gone. */
        public synchronized void tell(Engine engine, int state) {
            ByteBuffer frame = ByteBuffer.allocate(4 + 9 + 27);
            frame.putInt(9 + 27).putLong(events.size() + 2).put((byte) 2);
            frame.putInt((int) engine.number).put(LOOPBACK.getAddress());
            frame.putShort((short) engine.port()).put((byte) state).put((byte) 0).put((byte) 0);
            frame.putShort((short) 0).putInt(12_000).putLong(0);
            events.add(frame.array());
            lab.note("bus tells " + engine.name() + " state " + state);
            notifyAll();
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                long last = new DataInputStream(socket.getInputStream()).readLong();
                lab.note("bus is asked for events after " + last);
                OutputStream out = socket.getOutputStream();
                int next = (int) Math.max(0, last - 1);
                double emptyDueAt = now();
                while (true) {
                    byte[] frame;
                    synchronized (this) {
                        while (next >= events.size() && now() < emptyDueAt) {
                            wait(Math.max(1, Math.round((emptyDueAt - now()) * 1000)));
                        }
                        if (next < events.size()) {
                            frame = events.get(next++);
                        } else {
                            frame =
                                    ByteBuffer.allocate(13)
                                            .putInt(9)
                                            .putLong(events.size() + 1)
                                            .array();
                            emptyDueAt = now() + 1;
                        }
                    }
                    out.write(frame);
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    public Bus bus() throws IOException {
        Bus bus = new Bus(this);
        parts.add(bus);
        return bus;
    }

    // ---- clients ----

    /** What a client saw for one query. */
    public record Answer(String kind, String code, String text, List<String> rows, double at) {
        public boolean isServed() {
            return kind.equals("served");
        }
    }

    /** A session of a client: PostgreSQL's wire protocol 3.0, simple queries. */
    public static final class Client implements Closeable {
        private final InetSocketAddress address;
        public final Socket socket;
        private final DataInputStream in;
        private int processId;
        private int secret;

        public Client(InetSocketAddress address, int readTimeoutMillis) throws IOException {
            this.address = address;
            socket = new Socket();
            socket.connect(address, readTimeoutMillis);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(readTimeoutMillis);
            in = new DataInputStream(socket.getInputStream());
            byte[] words =
                    "user\0app\0database\0analytics\0\0".getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream()
                    .write(
                            ByteBuffer.allocate(8 + words.length)
                                    .putInt(8 + words.length)
                                    .putInt(3 << 16)
                                    .put(words)
                                    .array());
            read();
        }

        public void write(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write(
                            ByteBuffer.allocate(6 + bytes.length)
                                    .put((byte) 'Q')
                                    .putInt(5 + bytes.length)
                                    .put(bytes)
                                    .put((byte) 0)
                                    .array());
        }

        /** Reads until the session is ready for a query or ends. */
        public Answer read() throws IOException {
            String kind = "closed";
            String code = "";
            String text = "";
            List<String> rows = new ArrayList<>();
            try {
                while (true) {
                    int type = in.readByte();
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    switch (type) {
                        case 'K' -> {
                            processId = ByteBuffer.wrap(body).getInt();
                            secret = ByteBuffer.wrap(body).getInt(4);
                        }
                        case 'D' -> rows.add(rowText(body));
                        case 'C' -> kind = "served";
                        case 'I' -> kind = "empty";
                        case 'E' -> {
                            Map<Character, String> fields = new TreeMap<>();
                            for (String field :
                                    new String(body, StandardCharsets.UTF_8).split("\0")) {
                                if (!field.isEmpty()) {
                                    fields.put(field.charAt(0), field.substring(1));
                                }
                            }
                            code = fields.getOrDefault('C', "");
                            text = fields.getOrDefault('M', "");
                            kind =
                                    code.startsWith("53") || code.equals("57P03")
                                            ? "refused"
                                            : "failed";
                        }
                        case 'Z' -> {
                            return new Answer(kind, code, text, rows, now());
                        }
                        default -> {}
                    }
                }
            } catch (EOFException e) {
                return new Answer(
                        code.isEmpty() ? "closed" : kind, code, text + " (closed)", rows, now());
            }
        }

        private static String rowText(byte[] body) {
            ByteBuffer row = ByteBuffer.wrap(body);
            List<String> columns = new ArrayList<>();
            for (int i = row.getShort(); i > 0; i--) {
                byte[] column = new byte[row.getInt()];
                row.get(column);
                columns.add(new String(column, StandardCharsets.UTF_8));
            }
            return String.join("\t", columns);
        }

        public Answer query(String text) throws IOException {
            write(text);
            return read();
        }

        /** Sends a CancelRequest with this session's key on a new connection. */
        public void cancel() throws IOException {
            try (Socket other = new Socket()) {
                other.connect(address, 2000);
                other.setSoTimeout(500);
                other.getOutputStream()
                        .write(
                                ByteBuffer.allocate(16)
                                        .putInt(16)
                                        .putInt(80877102)
                                        .putInt(processId)
                                        .putInt(secret)
                                        .array());
                while (other.getInputStream().read() >= 0) {
                    continue; // until the dispatcher closes
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final SplittableRandom RANDOM = new SplittableRandom();

    /** A new id of a request. */
    public static synchronized String newId() {
        return String.format("%016x", RANDOM.nextLong());
    }

    /** The text of a query with its fields; {@code more} begins with a comma or is empty. */
    public static String text(String kind, String id, int timeoutMillis, double workMs, String more) {
        return "/* kind=%s,req=%s,timeout=%d,ms=%.1f,ram=64%s */ SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day"
                .formatted(kind, id, timeoutMillis, workMs, more);
    }

    // ---- the platform ----

    /** A dispatcher as a process of its own. */
    public final class Dispatcher {
        private final long pid;
        private final Process process; // null if the platform's holder started it
        public final Path log;
        private final Platform platform;

        Dispatcher(long pid, Process process, Path log, Platform platform) {
            this.pid = pid;
            this.process = process;
            this.log = log;
            this.platform = platform;
            dispatchers.add(this);
        }

        public boolean isAlive() {
            return process != null
                    ? process.isAlive()
                    : !platform.endings.containsKey(pid);
        }

        /** The exit status as the system gives it, for a process of the platform's holder. */
        public String ending() {
            return process != null
                    ? (process.isAlive() ? "runs" : "exit " + process.exitValue())
                    : platform.endings.getOrDefault(pid, "runs");
        }

        public void signal(String name) {
            if (!isAlive()) {
                return;
            }
            note("signal " + name + " to process " + pid);
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        void kill() {
            if (isAlive()) {
                try {
                    new ProcessBuilder("kill", "-KILL", Long.toString(pid)).start().waitFor();
                } catch (IOException | InterruptedException e) {
                    // nothing more can be done
                }
            }
        }

        public String logText() {
            try {
                return Files.readString(log);
            } catch (IOException e) {
                return "";
            }
        }
    }

    /** The command {@code run} of the deploy file. */
    public static String runCommand() throws IOException {
        String line =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(text -> text.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    public static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, LOOPBACK)) {
            return probe.getLocalPort();
        }
    }

    private int started;

    /** Starts a dispatcher that opens its own listening socket. */
    public Dispatcher start(String name, int port, Path config) throws IOException {
        Path log = folder.resolve("log-" + started++);
        Path temp = Files.createDirectories(folder.resolve("tmp-" + started));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(key -> key.startsWith("RELAY_"));
        environment.put("RELAY_NAME", name);
        environment.put("RELAY_LISTEN", "127.0.0.1:" + port);
        environment.put("RELAY_CONFIG", config.toString());
        environment.put("TMPDIR", temp.toString());
        Process process =
                builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        note("dispatcher " + name + " is started as process " + process.pid());
        return new Dispatcher(process.pid(), process, log, null);
    }

    /** Waits until an empty query is answered, as the front does. */
    public void awaitServing(InetSocketAddress address, double seconds) throws IOException {
        double until = now() + seconds;
        while (now() < until) {
            try (Client client = new Client(address, 2000)) {
                if (client.query("").kind().equals("empty")) {
                    note("the dispatcher at " + address.getPort() + " serves");
                    return;
                }
            } catch (IOException e) {
                sleep(0.1);
            }
        }
        throw new IOException("the dispatcher did not begin to serve");
    }

    /** Holds the clients' listening socket, which processes inherit as descriptor 0 (DAYS). */
    public final class Platform implements Closeable {
        private static final String HOLDER =
                """
                use Socket; $| = 1; my ($held, $given, %runs) = (undef, '');
                socket($held, PF_INET, SOCK_STREAM, 0) && bind($held, sockaddr_in(0, INADDR_LOOPBACK))
                    && listen($held, 512) or die "no socket: $!";
                print 'port ', (sockaddr_in(getsockname $held))[0], "\\n";
                for (my $more = 1; $more;) {
                  my $read = ''; vec($read, 0, 1) = 1;
                  $more = sysread(STDIN, $given, 65536, length $given) if select($read, undef, undef, 0.01) > 0;
                  while ($given =~ s/^(.*)\\n//) {
                    my $line = $1; my $pid = fork;
                    if ($pid == 0) { open(STDIN, '<&', $held); exec '/bin/sh', '-c', $line; exit 127; }
                    $runs{$pid} = 1; print "runs $pid\\n";
                  }
                  while ((my $pid = waitpid(-1, 1)) > 0) { delete $runs{$pid}; print "ended $pid $?\\n"; }
                }
                kill 'KILL', keys %runs;
                """;
        final Map<Long, String> endings = new ConcurrentHashMap<>();
        private final List<String> lines = new CopyOnWriteArrayList<>();
        private final Process holder;
        private final Writer commands;
        private final Path temp;
        public final InetSocketAddress address;
        private int count;

        Platform() throws IOException {
            temp = Files.createDirectories(folder.resolve("tmp-shared"));
            holder =
                    new ProcessBuilder("perl", "-e", HOLDER)
                            .redirectError(folder.resolve("holder-log").toFile())
                            .start();
            commands = holder.outputWriter(StandardCharsets.UTF_8);
            BufferedReader out = holder.inputReader(StandardCharsets.UTF_8);
            daemon(
                    () -> {
                        for (String line = out.readLine(); line != null; line = out.readLine()) {
                            if (line.startsWith("ended ")) {
                                String[] words = line.split(" ");
                                endings.put(Long.parseLong(words[1]), "status " + words[2]);
                                note("process " + words[1] + " ended with status " + words[2]);
                            } else {
                                lines.add(line);
                            }
                        }
                    });
            address = new InetSocketAddress(LOOPBACK, (int) awaitNumber("port ", 0));
        }

        private long awaitNumber(String prefix, int index) throws IOException {
            for (double until = now() + 20; now() < until; sleep(0.01)) {
                List<String> found =
                        lines.stream().filter(line -> line.startsWith(prefix)).toList();
                if (found.size() > index) {
                    return Long.parseLong(found.get(index).substring(prefix.length()));
                }
            }
            throw new IOException("the holder of the listening socket said nothing");
        }

        /** Starts a process of the dispatcher; each has a second address of its own. */
        public Dispatcher start(Path config, int adminPort) throws IOException {
            Path log = folder.resolve("log-" + started++);
            commands.write(
                    "exec >'%s' 2>&1; export RELAY_FD=0 RELAY_NAME=n1 RELAY_LISTEN=127.0.0.1:%d RELAY_ADMIN=127.0.0.1:%d RELAY_CONFIG='%s' TMPDIR='%s'; %s\n"
                            .formatted(
                                    log, address.getPort(), adminPort, config, temp, runCommand()));
            commands.flush();
            long pid = awaitNumber("runs ", count++);
            note("process " + pid + " is started on the inherited socket");
            return new Dispatcher(pid, null, log, this);
        }

        @Override
        public void close() throws IOException {
            commands.close();
            holder.destroy();
        }
    }

    public Platform platform() throws IOException {
        Platform platform = new Platform();
        parts.add(platform);
        return platform;
    }

    /** Calls the second address and returns the status. */
    public static int admin(int port, String call) throws IOException {
        try (Socket socket = new Socket(LOOPBACK, port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write(
                            (call + " HTTP/1.1\r\nHost: a\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return Integer.parseInt(answer.split(" ")[1]);
        }
    }

    /** Waits until the second address says that the process is ready to serve. */
    public void awaitReady(int adminPort, double seconds) throws IOException {
        for (double until = now() + seconds; now() < until; sleep(0.05)) {
            try {
                if (admin(adminPort, "GET /ops/readiness") / 100 == 2) {
                    note("the process at second address " + adminPort + " says yes");
                    return;
                }
            } catch (IOException | RuntimeException e) {
                continue; // not up yet
            }
        }
        throw new IOException("no yes from the second address");
    }

    /** Writes a file of the case's temporary folder. */
    public Path write(String name, String text) throws IOException {
        Path path = folder.resolve(name);
        Path part = folder.resolve(name + ".part");
        Files.writeString(part, text);
        Files.move(
                part,
                path,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        return path;
    }

}
