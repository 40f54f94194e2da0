package junipercourse;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/**
 * Holds the clients' listening socket as the platform does, and starts dispatchers that inherit it
 * as descriptor 0. A JVM cannot pass a socket to a child process, so a short Perl script holds it;
 * Perl is part of any Debian. The script ends with this JVM and then kills the processes that still
 * run.
 */
public final class ListeningSocketHolder implements Closeable {
    private static final String HOLDER_SCRIPT =
            """
            use Socket; $| = 1; my ($held, $given, %runs) = (undef, '');
            socket($held, PF_INET, SOCK_STREAM, 0) && bind($held, sockaddr_in(0, INADDR_LOOPBACK))
                && ($ARGV[0] == 0 || listen($held, $ARGV[0])) or die "no socket: $!";
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
    private static final int BACKLOG = 512;
    private static final int MAX_DESCRIPTORS = 1024;

    /** A process may take 5.2 s to exit, and longer to start on a busy machine. */
    public static final long AWAIT_TIMEOUT_MILLIS = 20_000;

    private final Process holder;
    private final Writer holderCommands;
    private final List<String> reportedLines = new CopyOnWriteArrayList<>();
    private final Map<Long, Integer> exitStatuses = new ConcurrentHashMap<>();
    private final Path folder;
    private final int port;
    private int startedCount;

    /**
     * Listens; the folder holds the logs, the configuration and {@code $TMPDIR} of the processes.
     */
    public ListeningSocketHolder(Path folder) throws IOException {
        this(folder, BACKLOG);
    }

    /** Listens with a backlog; with 0 the socket is only bound. */
    public ListeningSocketHolder(Path folder, int backlog) throws IOException {
        this.folder = folder;
        Files.createDirectories(tempFolder());
        holder =
                new ProcessBuilder("perl", "-e", HOLDER_SCRIPT, Integer.toString(backlog))
                        .redirectError(folder.resolve("holder.log").toFile())
                        .start();
        holderCommands = holder.outputWriter(StandardCharsets.UTF_8);
        BufferedReader holderOutput = holder.inputReader(StandardCharsets.UTF_8);
        SocketTestSupport.startDaemon(
                () -> {
                    for (String line = holderOutput.readLine();
                            line != null;
                            line = holderOutput.readLine()) {
                        String[] words = line.split(" ");
                        if (words[0].equals("ended")) {
                            exitStatuses.put(Long.parseLong(words[1]), Integer.parseInt(words[2]));
                        } else {
                            reportedLines.add(line);
                        }
                    }
                });
        port = (int) awaitReportedNumber("port ", 0);
    }

    private long awaitReportedNumber(String prefix, int index) {
        Predicate<String> matches = line -> line.startsWith(prefix);
        SocketTestSupport.await(
                () -> reportedLines.stream().filter(matches).count() > index, AWAIT_TIMEOUT_MILLIS);
        return Long.parseLong(
                reportedLines.stream()
                        .filter(matches)
                        .skip(index)
                        .findFirst()
                        .orElseThrow()
                        .substring(prefix.length()));
    }

    /** The address that clients connect to. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** The folder that the processes share as their {@code $TMPDIR}. */
    public Path tempFolder() {
        return folder.resolve("tmp");
    }

    /** Writes the configuration of processes started from now on. */
    public void writeConfig(String text) throws IOException {
        Files.writeString(folder.resolve("config.json"), text);
    }

    /** Starts another dispatcher on this socket, with an admin address of its own. */
    public InheritingProcess start() throws IOException {
        return start("", Map.of());
    }

    /** Starts a dispatcher with other environment variables, after the given shell commands. */
    public InheritingProcess start(String shellPrefix, Map<String, String> overrides)
            throws IOException {
        Path log = folder.resolve("log" + startedCount);
        Map<String, String> variables =
                new TreeMap<>(
                        Map.of(
                                "RELAY_FD",
                                "0",
                                "RELAY_ADMIN",
                                "127.0.0.1:0",
                                "RELAY_LISTEN",
                                "127.0.0.1:" + port,
                                "TMPDIR",
                                tempFolder().toString(),
                                "RELAY_CONFIG",
                                folder.resolve("config.json").toString()));
        variables.putAll(overrides);
        StringBuilder line = new StringBuilder("exec >'" + log + "' 2>&1; ");
        variables.forEach(
                (name, value) ->
                        line.append("export ")
                                .append(name)
                                .append("='")
                                .append(value)
                                .append("'; "));
        Files.createFile(log);
        holderCommands.write(
                line + shellPrefix + DispatcherProcess.shellCommand(MAX_DESCRIPTORS) + "\n");
        holderCommands.flush();
        return new InheritingProcess(log, awaitReportedNumber("runs ", startedCount++));
    }

    @Override
    public void close() throws IOException {
        holderCommands.close();
        try {
            holder.waitFor();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** An answer of the admin server. */
    public record HttpAnswer(int status, String body) {}

    /** A process that has the socket as its descriptor 0. */
    public final class InheritingProcess {
        private final Path log;
        private final long pid;

        private InheritingProcess(Path log, long pid) {
            this.log = log;
            this.pid = pid;
        }

        /** The log of the process so far. */
        public String log() {
            try {
                return Files.readString(log);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        /** Sends a signal to the process, unless it has exited. */
        public void signal(String name) throws IOException, InterruptedException {
            if (isAlive()) {
                new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
            }
        }

        public boolean isAlive() {
            return !exitStatuses.containsKey(pid);
        }

        /**
         * Waits until the process exits and returns its exit code; that of a process killed by a
         * signal is 128 or more.
         */
        public int awaitExitCode() {
            SocketTestSupport.await(() -> !isAlive(), AWAIT_TIMEOUT_MILLIS);
            int status = exitStatuses.get(pid);
            return status > 255 ? status >> 8 : 128 + status;
        }

        /** Calls the admin server, such as {@code GET /ops/stats}. */
        public HttpAnswer callAdmin(String call) throws IOException {
            SocketTestSupport.await(
                    () -> log().contains("second address is ") || !isAlive(), AWAIT_TIMEOUT_MILLIS);
            int adminPort =
                    Integer.parseInt(log().split("second address is [^:]*:")[1].split("\\D")[0]);
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), adminPort)) {
                socket.setSoTimeout(5000);
                socket.getOutputStream()
                        .write(
                                (call + " HTTP/1.1\r\nHost: a\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                String answer = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
                return new HttpAnswer(
                        Integer.parseInt(answer.split(" ")[1]),
                        answer.substring(answer.indexOf("\r\n\r\n") + 4));
            }
        }

        /** Waits until the readiness check succeeds. */
        public InheritingProcess awaitReady() {
            return awaitAnswer("GET /ops/readiness", answer -> answer.status() == 200);
        }

        /** Waits until the answer to a call matches. */
        public InheritingProcess awaitAnswer(String call, Predicate<HttpAnswer> matches) {
            SocketTestSupport.await(
                    () -> {
                        try {
                            return matches.test(callAdmin(call));
                        } catch (IOException e) {
                            throw new AssertionError(log(), e);
                        }
                    },
                    AWAIT_TIMEOUT_MILLIS);
            return this;
        }
    }
}
