package junipercourse.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import junipercourse.admin.SiblingProcesses;
import junipercourse.config.Config;
import junipercourse.core.Gateway;
import junipercourse.handover.SharedCancelRequests;
import junipercourse.handover.SharedMemory;
import junipercourse.handover.SharedQueryIds;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;
import junipercourse.pg.CancelKey;
import junipercourse.pg.PgServer;
import org.tinylog.Logger;

/**
 * Shares the limits of one dispatcher between its processes during a handover. Together they count
 * as one process: the free descriptors and the open queries are divided, since clients of both hold
 * at most a third of all descriptors. Used only with an inherited listening socket.
 */
final class HandoverCoordinator implements Closeable {
    /**
     * Of all descriptors: open queries of a process without siblings, half of what clients may
     * open. It may be replaced at any time, and its open queries then stay connected beside its
     * successor's.
     */
    static final double SOLE_PROCESS_FRACTION = 0.5 / 3;

    /** A new process reports ready some tenths of a second after its start. */
    private static final long POLL_INTERVAL_MILLIS = 100;

    /** A cancelled query must not be sent on 0.1 s after the request. */
    private static final double CANCEL_POLL_INTERVAL_SECONDS = 0.02;

    private final EventLoop loop;
    private final DescriptorBudget descriptors;
    private final Gateway gateway;
    private final PgServer pgServer;
    private final int maxOpenQueriesAlone;
    private final int maxOpenQueriesWithSibling;
    private final SiblingProcesses siblings;
    private final ScheduledThreadPoolExecutor scheduler;

    /**
     * The descriptors that this process limits itself to; its next poll reports them to siblings.
     */
    private volatile int allowedDescriptors;

    private boolean hasSibling;

    /**
     * Polls once before it returns, so that a process knows of its siblings from the start.
     *
     * @param maxOpenQueriesTotal open queries of all processes together
     * @throws IOException if the folder cannot be used
     */
    HandoverCoordinator(
            EventLoop loop,
            DescriptorBudget descriptors,
            Gateway gateway,
            PgServer pgServer,
            int maxOpenQueriesTotal,
            Path folder)
            throws IOException {
        this.loop = loop;
        this.descriptors = descriptors;
        this.gateway = gateway;
        this.pgServer = pgServer;
        this.maxOpenQueriesAlone = (int) (descriptors.limit() * SOLE_PROCESS_FRACTION);
        this.maxOpenQueriesWithSibling = maxOpenQueriesTotal - maxOpenQueriesAlone;
        allowedDescriptors = descriptors.used();
        descriptors.applyClaim(allowedDescriptors, true); // there is no claim until the first poll
        siblings = new SiblingProcesses(folder);
        Optional<SharedMemory> memory = openSharedMemory(folder);
        pollSiblings(() -> memory.ifPresent(SharedMemory::clear));
        memory.ifPresent(this::shareQueries);
        scheduler =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "overlap");
                            thread.setDaemon(true);
                            return thread;
                        });
        scheduler.scheduleWithFixedDelay(
                () -> pollSiblings(() -> {}),
                POLL_INTERVAL_MILLIS,
                POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns a folder for files that outlive a process. The dispatcher's name and listen address,
     * also without a name, distinguish dispatchers that share {@code $TMPDIR}. No two share a
     * folder: characters that a path cannot hold are URL-encoded, and an address has no hyphen.
     */
    static Path resolveFolder(Config config, String purpose) {
        String tempFolder =
                System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"));
        InetSocketAddress listenAddress = config.listenAddress();
        return Path.of(
                tempFolder,
                "junipercourse-"
                        + purpose
                        + "-"
                        + URLEncoder.encode(config.name(), UTF_8)
                        + "-"
                        + URLEncoder.encode(listenAddress.getAddress().getHostAddress(), UTF_8)
                        + "-"
                        + listenAddress.getPort());
    }

    /** A process that cannot share its queries still serves them. */
    private Optional<SharedMemory> openSharedMemory(Path folder) {
        try {
            return Optional.of(new SharedMemory(folder, siblings.processNumber()));
        } catch (IOException e) {
            Logger.error(
                    "ids and cancel requests are not shared with other processes of this"
                            + " dispatcher: {}",
                    e.toString());
            return Optional.empty();
        }
    }

    private void shareQueries(SharedMemory memory) {
        gateway.setIdRegistry(new SharedQueryIds(memory, siblings::isRunning));
        SharedCancelRequests cancelRequests = new SharedCancelRequests(memory);
        pgServer.cancelRequests().setForwarder(key -> cancelRequests.send(key.toLong()));
        loop.execute(() -> receiveCancelRequests(cancelRequests));
    }

    private void receiveCancelRequests(SharedCancelRequests cancelRequests) {
        loop.scheduleAfter(
                CANCEL_POLL_INTERVAL_SECONDS, () -> receiveCancelRequests(cancelRequests));
        cancelRequests.receive(
                key -> pgServer.cancelRequests().cancelSession(CancelKey.fromLong(key)));
    }

    /**
     * @param onAlone runs if no other process of this dispatcher runs; none starts meanwhile
     */
    private void pollSiblings(Runnable onAlone) {
        try {
            int[] claim = new int[1];
            int siblingDescriptors =
                    siblings.claim(
                            others -> {
                                if (others < 0) {
                                    onAlone.run();
                                }
                                claim[0] =
                                        DescriptorBudget.claim(
                                                allowedDescriptors, others, descriptors.limit());
                                return claim[0];
                            });
            loop.execute(() -> applyClaim(claim[0], siblingDescriptors >= 0));
        } catch (SiblingProcesses.ClaimsStoppedException e) {
            Logger.debug("the last poll of sibling processes is left out: {}", e.getMessage());
        } catch (IOException | RuntimeException e) { // the limits stay as they are
            Logger.error(
                    "cannot tell whether another process of this dispatcher runs: {}",
                    e.toString());
        }
    }

    private void applyClaim(int claim, boolean siblingFound) {
        if (siblingFound != hasSibling) {
            hasSibling = siblingFound;
            Logger.info(
                    siblingFound
                            ? "another process of this dispatcher runs"
                            : "no other process of this dispatcher runs");
            pgServer.setSiblingRunning(siblingFound);
            gateway.limitOpenQueries(
                    siblingFound ? maxOpenQueriesWithSibling : maxOpenQueriesAlone);
        }
        descriptors.applyClaim(claim, siblingFound);
        allowedDescriptors = descriptors.allowed();
    }

    /**
     * Ends the polling before the process exits. The claim stands until it has ended, since its
     * descriptors are in use until then.
     */
    void stopPolling() {
        scheduler.shutdown(); // an interrupt would close the claim file and so release its lock
        siblings.stopClaims();
    }

    @Override
    public void close() {
        stopPolling();
        siblings.close();
    }
}
