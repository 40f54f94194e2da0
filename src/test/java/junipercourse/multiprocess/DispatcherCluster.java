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
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;

/**
 * Dispatchers n0, n1 … as processes of one fleet behind one {@link FaultInjectingProxy}, with one
 * engine for all and a client for each.
 */
final class DispatcherCluster implements Closeable {
    private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(20);
    private static final int POLL_INTERVAL_MILLIS = 40;
    private static final String ONE_ENGINE_TOPOLOGY =
            """
            "offset":7,"batch":[{"offset":7,"topology":{"complete":true,"members":[{"id":"s-00000001",
            "host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,"phase":"Ready",
            "size":12.0,"up_since_ms":0}]}}]\
            """;
    final FaultInjectingProxy proxy;
    final int memberCount;
    private final long seed;
    private final Path folder;
    private final StubEngine engine =
            new StubEngine(
                    request ->
                            request.startsWith("POST")
                                    ? SocketTestSupport.RUNNING
                                    : SocketTestSupport.OK);
    private final DispatcherProcess[] processes;
    private final int[] startCounts;
    private final FleetObservation[] latestObservations;
    private final AtomicInteger queryCount = new AtomicInteger();
    private final AtomicInteger[] answeredQueries;
    private final List<String> failedQueries = new ArrayList<>();
    private final List<FleetObservation> history = new ArrayList<>();

    DispatcherCluster(Path folder, int memberCount, long seed) throws IOException {
        System.out.println("cluster of " + memberCount + ", seed " + seed);
        this.folder = folder;
        this.memberCount = memberCount;
        this.seed = seed;
        proxy = new FaultInjectingProxy(memberCount, seed);
        processes = new DispatcherProcess[memberCount];
        startCounts = new int[memberCount];
        latestObservations = new FleetObservation[memberCount];
        answeredQueries =
                IntStream.range(0, memberCount)
                        .mapToObj(i -> new AtomicInteger())
                        .toArray(AtomicInteger[]::new);
    }

    static String memberName(int member) {
        return "n" + member;
    }

    /** Returns the names of all members except these. */
    Set<String> namesExcept(Integer... members) {
        Set<Integer> excluded = Set.of(members);
        return allMembers().stream()
                .filter(member -> !excluded.contains(member))
                .map(DispatcherCluster::memberName)
                .collect(Collectors.toSet());
    }

    Set<Integer> allMembers() {
        return IntStream.range(0, memberCount).boxed().collect(Collectors.toSet());
    }

    /** Starts or restarts a member and returns once it accepts clients. */
    void start(int member) throws IOException {
        start(member, "");
    }

    /**
     * Like {@link #start(int)}, but runs a shell command first, which may replace the shell by
     * another build.
     */
    void start(int member, String command) throws IOException {
        Path memberFolder =
                Files.createDirectories(
                        folder.resolve(memberName(member) + "-" + ++startCounts[member]));
        Files.writeString(
                memberFolder.resolve("config.json"),
                SocketTestSupport.CONFIG.replace(
                        "\"offset\":0,\"batch\":[]",
                        ONE_ENGINE_TOPOLOGY.formatted(engine.address().getPort())));
        Files.writeString(memberFolder.resolve("product.xml"), productXml(member));
        processes[member] =
                new DispatcherProcess(
                        memberFolder,
                        1024,
                        memberFolder.resolve("config.json"),
                        "export RELAY_NAME="
                                + memberName(member)
                                + " JUNIPER_PRODUCT='"
                                + memberFolder.resolve("product.xml")
                                + "'; ");
        DispatcherProcess process = processes[member];
        int startNumber = startCounts[member];
        SocketTestSupport.startDaemon(() -> observe(member, startNumber, process));
    }

    private String productXml(int member) {
        String listen =
                proxy.listenAddress(member).getAddress().getHostAddress()
                        + ":"
                        + proxy.listenAddress(member).getPort();
        return "<product><fleet name='rig' listen='"
                + listen
                + "' advertise='"
                + proxy.advertisedAddress(member)
                + "' zone='east'>"
                + IntStream.range(0, Math.min(memberCount, 3))
                        .mapToObj(
                                seedMember ->
                                        "<seed address='"
                                                + proxy.advertisedAddress(seedMember)
                                                + "'/>")
                        .collect(Collectors.joining())
                + "<bounds peer-datagrams='500/s'/></fleet></product>";
    }

    /** Polls the view of one process until it is stopped, and sends a query every few polls. */
    private void observe(int member, int startNumber, DispatcherProcess process)
            throws IOException {
        try (Client client = new Client(process.address())) {
            client.startSession();
            for (int round = 0; processes[member] == process; round++) {
                FleetObservation observation =
                        FleetObservation.parse(
                                nowSeconds(), member, startNumber, client.query("SHOW FLEET"));
                synchronized (history) {
                    history.add(observation);
                    latestObservations[member] = observation;
                }
                if (round % 5 == 0) {
                    String response =
                            client.query(
                                    SocketTestSupport.query(
                                            "check", queryCount.incrementAndGet(), 7000));
                    if (response.equals("T D(a b c) C(SELECT 1)")) {
                        answeredQueries[member].incrementAndGet();
                    } else if (!response.isEmpty() && !response.contains("shutting down")) {
                        synchronized (failedQueries) {
                            failedQueries.add(memberName(member) + ": " + response);
                        }
                    }
                }
                SocketTestSupport.sleepMillis(POLL_INTERVAL_MILLIS);
            }
        }
    }

    /** Returns the test's monotonic clock. */
    static double nowSeconds() {
        return System.nanoTime() / 1e9;
    }

    DispatcherProcess process(int member) {
        return processes[member];
    }

    /** Kills a member; its observations stay in the history. */
    void kill(int member) throws IOException, InterruptedException {
        processes[member].signal("KILL");
        processes[member].close();
        markStopped(member);
    }

    /** Stops the observation of a member whose process has ended. */
    void markStopped(int member) {
        processes[member] = null;
        synchronized (history) {
            latestObservations[member] = null;
        }
    }

    /** Returns the latest observation of the member, or null. */
    FleetObservation latestObservation(int member) {
        synchronized (history) {
            return latestObservations[member];
        }
    }

    /** Waits until the latest observation of each of these members meets the condition. */
    void awaitAll(String description, Set<Integer> members, Predicate<FleetObservation> condition) {
        double startSeconds = nowSeconds();
        try {
            await(description)
                    .atMost(CONDITION_TIMEOUT)
                    .pollInterval(Duration.ofMillis(20))
                    .until(
                            () ->
                                    members.stream()
                                            .map(this::latestObservation)
                                            .allMatch(
                                                    observation ->
                                                            observation != null
                                                                    && observation.atSeconds()
                                                                            >= startSeconds
                                                                    && condition.test(
                                                                            observation)));
        } catch (RuntimeException e) {
            throw new AssertionError(
                    "seed "
                            + seed
                            + ": not "
                            + description
                            + ": "
                            + members.stream()
                                    .map(
                                            member ->
                                                    latestObservation(member)
                                                            + "\n"
                                                            + (processes[member] == null
                                                                    ? ""
                                                                    : processes[member].log()))
                                    .toList(),
                    e);
        }
        System.out.printf("%s: after %.2f s%n", description, nowSeconds() - startSeconds);
    }

    /** Waits until these members see each other alive, have converged, and hold the same digest. */
    void awaitConverged(String description, Set<Integer> members) {
        awaitAll(
                description,
                members,
                observation ->
                        observation.isConverged()
                                && members.stream()
                                        .map(DispatcherCluster::memberName)
                                        .allMatch(name -> observation.reports(name, "alive"))
                                && members.stream()
                                                .map(this::latestObservation)
                                                .map(
                                                        latest ->
                                                                latest == null
                                                                        ? ""
                                                                        : latest.valuesByName()
                                                                                .get("view.digest"))
                                                .distinct()
                                                .count()
                                        == 1);
    }

    /** Returns a copy of all observations so far. */
    List<FleetObservation> history() {
        synchronized (history) {
            return new ArrayList<>(history);
        }
    }

    /** Returns how many queries this member has answered correctly so far. */
    int answeredQueries(int member) {
        return answeredQueries[member].get();
    }

    /** Returns the wrong responses to queries, each with the member's name. */
    List<String> failedQueries() {
        synchronized (failedQueries) {
            return List.copyOf(failedQueries);
        }
    }

    @Override
    public void close() throws IOException {
        for (int i = 0; i < memberCount; i++) {
            DispatcherProcess process = processes[i];
            processes[i] = null;
            if (process != null) {
                process.close();
            }
        }
        engine.close();
        proxy.close();
    }
}
