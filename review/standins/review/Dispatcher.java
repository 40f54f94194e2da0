package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One dispatcher, started by {@code run} of the deploy file with a folder of its own. */
public final class Dispatcher implements AutoCloseable {
    /** Settings of a small deployment: one site, three classes as those of hobart-main. */
    private static final String SETTINGS =
            """
            {"balancers":%d,"ordinal":0,"my_zone":0,"dcs":["hobart"],"kinds":["std-12"],
             "clients":{"marks_retry":true},"registry_mode":"push","weights":"rough",
             "worth_by":"request","over_share_worth":0.05,"tick_s":0.005,
             "family":"queries",
             "family_info":{"class_threads":[1,4,2],"class_waits":[true,false,false],
               "loads":[false,false,true],"grants_count":false,"max_grant_share":0.4,
               "note_period_s":0.0,"out_of_memory":"cut","says_cost":true,"size_cores":[12],
               "size_mb":[24576.0],"takes_priority":false},
             "grades":[
               {"name":"quick-check","effect":"repeatable","key_scope":"all","goal_time_s":1.5,
                "aim_stretch":1.5,"deadline_s":7.5,"late_worth":0.1,"worth":1.0,"window_s":5.0},
               {"name":"full-report","effect":"repeatable","key_scope":"all","goal_time_s":2.0,
                "aim_stretch":2.5,"deadline_s":25.0,"late_worth":0.4,"worth":5.0,"window_s":5.0},
               {"name":"record-load","effect":"by_key","key_scope":"all","goal_time_s":3.0,
                "aim_stretch":2.5,"deadline_s":20.0,"late_worth":0.6,"worth":5.0,"window_s":12.0,
                "serial_by_key":true}],
             "guarantees":{"cold_from":0.31,"drain_grace_s":1.0,"fall_multiple":3.0,"fall_s":3.0,
               "grace_to_answer_s":0.02,"order_settle_s":0.5,"warm_within_s":15.0},
             "limits":{"cancel":true,"conn_idle_s":30.0,"dial_timeout_s":0.25,
               "max_retry_after_s":0.5,"multiplex":100,"peer_messages":false,"probes":false,
               "retry_after":true,"second_copies":false,"try_limit":6},
             "telemetry":{"fields":["q","busy"],"via":"inline"},
             "tenants":[{"name":"southern-rentals","portion":0.41,"quota_per_s":43.0},
               {"name":"tamar-property","portion":0.4,"quota_per_s":42.0},
               {"name":"coastal-lettings","portion":0.19,"quota_per_s":20.0}]}\
            """;

    /** A case that takes longer could not run; its processes end with it. */
    private static final long LONGEST_CASE_MILLIS = 110_000;

    private final Path folder;
    private final InetSocketAddress address;
    private final Process process;

    /**
     * Starts a dispatcher that knows the engines, and waits until it answers an empty query.
     *
     * @param dispatchers how many the settings say there are
     */
    public Dispatcher(Path root, int dispatchers, List<Engine> engines, Record record)
            throws IOException {
        Thread watchdog = new Thread(Dispatcher::endLongCase);
        watchdog.setDaemon(true);
        watchdog.start();
        folder = Files.createTempDirectory("review");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        address = new InetSocketAddress("127.0.0.1", port);
        List<String> members = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            members.add(
                    """
                    {"id":"s-%08x","host_port":"127.0.0.1:%d","locality":"hobart","flavor":"std-12",
                    "cell":%d,"phase":"Ready","size":12,"up_since_ms":0}\
                    """
                            .formatted(i + 1, engines.get(i).address().getPort(), i));
        }
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                """
                {"name":"n1","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"offset":1,"batch":[{"offset":1,"topology":{"revision":1,"complete":true,
                   "members":[%s]}}]},
                 "settings":%s}
                """
                        .formatted(port, String.join(",", members), SETTINGS.formatted(dispatchers)));
        Path temp = Files.createDirectory(folder.resolve("tmp"));
        String run =
                Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                        .findFirst()
                        .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root.toFile());
        builder.environment().put("RELAY_NAME", "n1");
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temp.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.line("dispatcher", "started");
        awaitReady();
        record.line("dispatcher", "answers an empty query");
    }

    private static void endLongCase() {
        try {
            Thread.sleep(LONGEST_CASE_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        System.exit(2);
    }

    private void awaitReady() throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until && process.isAlive()) {
            try (Client client = new Client(address)) {
                if (client.query("", 2000).emptyQuery()) {
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        String log = log();
        close();
        throw new IOException("the dispatcher is not ready: " + log);
    }

    public InetSocketAddress address() {
        return address;
    }

    public Process process() {
        return process;
    }

    public String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    /** Ends the process and removes its folder. */
    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
