package junipercourse.cli;

import java.util.concurrent.CountDownLatch;
import junipercourse.core.Gateway;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.QueryClass;
import junipercourse.net.EventLoop;
import junipercourse.pg.PgServer;
import org.tinylog.Logger;

/**
 * Shuts down gracefully: keeps serving while clients may still arrive, then until every query is
 * answered.
 */
final class GracefulShutdown {
    /**
     * New connections arrive for 0.2 to 0.4 s after SIGTERM and their queries for 0.2 s more
     * (PROTOCOL); the rest is for the signal's delivery. No longer: a query that arrives more than
     * 0.7 s after SIGTERM and is unanswered at SIGKILL is lost, so from then on all are rejected at
     * once.
     */
    private static final double LATE_ARRIVAL_SECONDS = 0.4 + 0.2 + 0.1;

    /** Time from the longest deadline, counted from SIGTERM, to SIGKILL. */
    private static final double KILL_DELAY_SECONDS = 0.7;

    /**
     * SIGKILL waits for at most this much of the longest deadline, or the next value for a process
     * that is replaced.
     */
    private static final double MAX_DEADLINE_SECONDS = 3;

    private static final double MAX_DEADLINE_WHEN_REPLACED_SECONDS = 5;

    /** For the last bytes to clients and the exit of the JVM. */
    private static final double MARGIN_SECONDS = 0.5;

    private static final double HANDOVER_INTERVAL_SECONDS = 0.1;
    private static final double POLL_INTERVAL_SECONDS = 0.02;

    /**
     * For clients to close their connections after us; a query that crosses the close does so
     * within 50 ms.
     */
    private static final double CLOSE_TIMEOUT_SECONDS = 0.06;

    /** For clients to read the rest of their answers. */
    private static final double FLUSH_TIMEOUT_SECONDS = 0.3;

    private final EventLoop loop;
    private final Gateway gateway;
    private final PgServer pgServer;
    private final double longestDeadlineSeconds;
    private final int maxKeptQueries;
    private final CountDownLatch completed = new CountDownLatch(1);
    private boolean isListening;
    private boolean hasBegun;

    /** Of a process that is replaced, at most {@code maxKeptQueries} queries stay open. */
    GracefulShutdown(
            EventLoop loop,
            Gateway gateway,
            PgServer pgServer,
            DecisionSettings settings,
            int maxKeptQueries) {
        this.loop = loop;
        this.gateway = gateway;
        this.pgServer = pgServer;
        this.maxKeptQueries = maxKeptQueries;
        longestDeadlineSeconds =
                settings.queryClasses().stream()
                        .mapToDouble(QueryClass::deadlineSeconds)
                        .max()
                        .orElse(0);
    }

    /**
     * Returns the seconds after SIGTERM at which every open query is answered: {@value
     * #MARGIN_SECONDS} before SIGKILL, yet not before the last clients may have arrived, as with
     * deadlines under half a second.
     *
     * @param longestDeadlineSeconds the longest deadline of the settings
     * @param maxCountedSeconds the part of it that SIGKILL waits for at most
     */
    static double answerDelaySeconds(double longestDeadlineSeconds, double maxCountedSeconds) {
        return Math.max(
                LATE_ARRIVAL_SECONDS,
                Math.min(maxCountedSeconds, longestDeadlineSeconds)
                        + KILL_DELAY_SECONDS
                        - MARGIN_SECONDS);
    }

    /** Marks clients as able to connect. On the loop's thread. */
    void onListening() {
        isListening = true;
    }

    /** Whether shutdown has begun. On the loop's thread. */
    boolean hasBegun() {
        return hasBegun;
    }

    /** Returns once every client is answered, or time has run out. */
    void run() {
        loop.execute(
                () -> {
                    hasBegun = true;
                    Logger.info(
                            "shutdown requested; {} queries are open", gateway.openQueryCount());
                    if (!isListening) { // no client can have connected
                        completed.countDown();
                        return;
                    }
                    if (pgServer.sharesSocket()) { // new clients belong to the sibling processes
                        pgServer.stopAccepting(this::finishWhenIdle);
                        handOverQueries();
                    } else {
                        loop.scheduleAfter(LATE_ARRIVAL_SECONDS, this::finishWhenIdle);
                    }
                    loop.scheduleAfter(
                            answerDelaySeconds(),
                            () -> {
                                finishWhenIdle();
                                gateway.shutdownResponder().answerOpenQueries();
                            });
                });
        try {
            completed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double answerDelaySeconds() {
        return answerDelaySeconds(
                longestDeadlineSeconds,
                pgServer.sharesSocket()
                        ? MAX_DEADLINE_WHEN_REPLACED_SECONDS
                        : MAX_DEADLINE_SECONDS);
    }

    /** Starts or forwards at once the queries that arrive on connections opened before. */
    private void handOverQueries() {
        gateway.shutdownResponder().handOverQueries(maxKeptQueries);
        loop.scheduleAfter(HANDOVER_INTERVAL_SECONDS, this::handOverQueries);
    }

    private void finishWhenIdle() {
        pgServer.beginShutdown(
                () ->
                        gateway.runWhenIdle(
                                () ->
                                        loop.execute(
                                                () -> { // after the sessions' pending work
                                                    pgServer.closeSessions();
                                                    awaitClientsClosed(0);
                                                })));
    }

    /**
     * Keeps the process alive while clients still read their answers or their last bytes are
     * arriving.
     */
    private void awaitClientsClosed(double waitedSeconds) {
        if (pgServer.hasNoConnections()
                || waitedSeconds
                        >= (pgServer.hasUnsentBytes()
                                ? FLUSH_TIMEOUT_SECONDS
                                : CLOSE_TIMEOUT_SECONDS)) {
            completed.countDown();
        } else {
            loop.scheduleAfter(
                    POLL_INTERVAL_SECONDS,
                    () -> awaitClientsClosed(waitedSeconds + POLL_INTERVAL_SECONDS));
        }
    }
}
