package junipercourse.multiprocess;

import static org.awaitility.Awaitility.await;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;

/**
 * Dispatchers n0, n1 … as processes of one fleet behind one {@link FaultInjectingProxy}, with an
 * engine and a client for each.
 */
final class DispatcherCluster implements Closeable {
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final int POLL_MS = 40;
    private static final String KNOWN =
            """
            "offset":7,"batch":[{"offset":7,"topology":{"complete":true,"members":[{"id":"s-00000001",
            "host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,"phase":"Ready",
            "size":12.0,"up_since_ms":0}]}}]\
            """;
    final FaultInjectingProxy hub;
    final int count;
    private final long seed;
    private final Path folder;
    private final SocketTestSupport.StubEngine engine =
            new SocketTestSupport.StubEngine(
                    call ->
                            call.startsWith("POST")
                                    ? SocketTestSupport.RUNNING
                                    : SocketTestSupport.OK);
    private final DispatcherProcess[] processes;
    private final int[] starts;
    private final FleetObservation[] newest;
    private final AtomicInteger queries = new AtomicInteger();
    private final AtomicInteger[] served;
    private final List<String> unserved = new ArrayList<>();
    private final List<FleetObservation> history = new ArrayList<>();

    DispatcherCluster(Path folder, int count, long seed) throws IOException {
        System.out.println("rig of " + count + ", seed " + seed);
        this.folder = folder;
        this.count = count;
        this.seed = seed;
        hub = new FaultInjectingProxy(count, seed);
        processes = new DispatcherProcess[count];
        starts = new int[count];
        newest = new FleetObservation[count];
        served =
                IntStream.range(0, count)
                        .mapToObj(i -> new AtomicInteger())
                        .toArray(AtomicInteger[]::new);
    }

    static String name(int member) {
        return "n" + member;
    }

    /** Names of all but these. */
    Set<String> others(Integer... members) {
        Set<Integer> without = Set.of(members);
        return all().stream()
                .filter(i -> !without.contains(i))
                .map(DispatcherCluster::name)
                .collect(Collectors.toSet());
    }

    Set<Integer> all() {
        return IntStream.range(0, count).boxed().collect(Collectors.toSet());
    }

    /** Starts a member, for the first time or again, and returns once it serves. */
    void start(int member) throws IOException {
        start(member, "");
    }

    /** The same after a shell command, which may run another build in the shell's place. */
    void start(int member, String command) throws IOException {
        Path own = Files.createDirectories(folder.resolve(name(member) + "-" + ++starts[member]));
        Files.writeString(
                own.resolve("config.json"),
                SocketTestSupport.CONFIG.replace(
                        "\"offset\":0,\"batch\":[]", KNOWN.formatted(engine.address().getPort())));
        Files.writeString(own.resolve("product.xml"), product(member));
        processes[member] =
                new DispatcherProcess(
                        own,
                        1024,
                        own.resolve("config.json"),
                        "export RELAY_NAME="
                                + name(member)
                                + " JUNIPER_PRODUCT='"
                                + own.resolve("product.xml")
                                + "'; ");
        DispatcherProcess process = processes[member];
        int life = starts[member];
        SocketTestSupport.startDaemon(() -> observe(member, life, process));
    }

    private String product(int member) {
        String listen =
                hub.listen(member).getAddress().getHostAddress()
                        + ":"
                        + hub.listen(member).getPort();
        return "<product><fleet name='rig' listen='"
                + listen
                + "' advertise='"
                + hub.advertised(member)
                + "' zone='east'>"
                + IntStream.range(0, Math.min(count, 3))
                        .mapToObj(i -> "<seed address='" + hub.advertised(i) + "'/>")
                        .collect(Collectors.joining())
                + "<bounds peer-datagrams='500/s'/></fleet></product>";
    }

    /** Asks one process for its view over and over, and every few times for a query's answer. */
    private void observe(int member, int life, DispatcherProcess process) throws IOException {
        try (SocketTestSupport.Client client = new SocketTestSupport.Client(process.address())) {
            client.startSession();
            for (int round = 0; processes[member] == process; round++) {
                FleetObservation look =
                        FleetObservation.parse(now(), member, life, client.query("SHOW FLEET"));
                synchronized (history) {
                    history.add(look);
                    newest[member] = look;
                }
                if (round % 5 == 0) {
                    String answer =
                            client.query(
                                    SocketTestSupport.query(
                                            "check", queries.incrementAndGet(), 7000));
                    if (answer.equals("T D(a b c) C(SELECT 1)")) {
                        served[member].incrementAndGet();
                    } else if (!answer.isEmpty() && !answer.contains("shutting down")) {
                        synchronized (unserved) {
                            unserved.add(name(member) + ": " + answer);
                        }
                    }
                }
                SocketTestSupport.sleepMillis(POLL_MS);
            }
        }
    }

    /** Seconds by the rig's own clock. */
    static double now() {
        return System.nanoTime() / 1e9;
    }

    DispatcherProcess process(int member) {
        return processes[member];
    }

    /** Ends a member at once; what it has told stays in the history. */
    void kill(int member) throws IOException, InterruptedException {
        processes[member].signal("KILL");
        processes[member].close();
        gone(member);
    }

    /** From now on nothing is expected of the member. */
    void gone(int member) {
        processes[member] = null;
        synchronized (history) {
            newest[member] = null;
        }
    }

    /** The member's newest look, or null. */
    FleetObservation look(int member) {
        synchronized (history) {
            return newest[member];
        }
    }

    /** Waits until the newest looks of all these members are so. */
    void until(String what, Set<Integer> members, Predicate<FleetObservation> so) {
        double from = now();
        try {
            await(what)
                    .atMost(PATIENCE)
                    .pollInterval(Duration.ofMillis(20))
                    .until(
                            () ->
                                    members.stream()
                                            .map(this::look)
                                            .allMatch(
                                                    look ->
                                                            look != null
                                                                    && look.at() >= from
                                                                    && so.test(look)));
        } catch (RuntimeException e) {
            throw new AssertionError(
                    "seed "
                            + seed
                            + ": not "
                            + what
                            + ": "
                            + members.stream()
                                    .map(
                                            m ->
                                                    look(m)
                                                            + "\n"
                                                            + (processes[m] == null
                                                                    ? ""
                                                                    : processes[m].log()))
                                    .toList(),
                    e);
        }
        System.out.printf("%s: after %.2f s%n", what, now() - from);
    }

    /** Waits until these see each other alive, are settled, and hold one digest. */
    void untilSettled(String what, Set<Integer> members) {
        until(
                what,
                members,
                look ->
                        look.isConverged()
                                && members.stream()
                                        .map(DispatcherCluster::name)
                                        .allMatch(m -> look.sees(m, "alive"))
                                && members.stream()
                                                .map(this::look)
                                                .map(
                                                        l ->
                                                                l == null
                                                                        ? ""
                                                                        : l.valuesByName()
                                                                                .get("view.digest"))
                                                .distinct()
                                                .count()
                                        == 1);
    }

    /** A copy of all that was seen so far. */
    List<FleetObservation> history() {
        synchronized (history) {
            return new ArrayList<>(history);
        }
    }

    /** Queries that this member has answered rightly so far. */
    int served(int member) {
        return served[member].get();
    }

    /** Queries that were answered wrongly. */
    List<String> unserved() {
        synchronized (unserved) {
            return List.copyOf(unserved);
        }
    }

    @Override
    public void close() throws IOException {
        for (int i = 0; i < count; i++) {
            DispatcherProcess process = processes[i];
            processes[i] = null;
            if (process != null) {
                process.close();
            }
        }
        engine.close();
        hub.close();
    }
}
