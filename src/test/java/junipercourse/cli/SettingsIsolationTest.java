package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import junipercourse.config.Config;
import org.junit.jupiter.api.Test;

/** Runs two customers' dispatchers in one JVM, at the same time and one after the other. */
class SettingsIsolationTest {
    private static final String SHORT_DEADLINE = "deadline_s\":0.4";

    private static String answer(String call) {
        return call.startsWith("DELETE") ? SocketTestSupport.CANCELLED : SocketTestSupport.OK;
    }

    private static DispatcherServer startServer(String config) throws IOException {
        DispatcherServer server = new DispatcherServer(Config.parse(config, Map.of()));
        server.start();
        return server;
    }

    private static String query(
            DispatcherServer server, String queryClass, String tenant, int timeoutMillis)
            throws IOException {
        InetSocketAddress address = server.address();
        return QueryStream.queryOnce(
                address,
                QueryStream.query(queryClass)
                        .replace("acme", tenant)
                        .replace("timeout=7000", "timeout=" + timeoutMillis));
    }

    private static void checkRejected(
            DispatcherServer server,
            String queryClass,
            String tenant,
            int timeoutMillis,
            String reason)
            throws IOException {
        String answer = query(server, queryClass, tenant, timeoutMillis);
        assertTrue(answer.startsWith("E(") && answer.contains(reason), answer);
    }

    /**
     * Each dispatcher uses its own classes, tenants, deadlines and engines, whichever started
     * first.
     */
    @Test
    void eachDispatcherUsesItsOwnSettings() throws Exception {
        try (StubEngines firstEngines = new StubEngines(1, SettingsIsolationTest::answer);
                StubEngines secondEngines = new StubEngines(1, SettingsIsolationTest::answer)) {
            String secondConfig =
                    secondEngines
                            .dispatcherConfig()
                            .replace("\"check\"", "\"audit\"")
                            .replace("\"acme\"", "\"umbrella\"")
                            .replace("deadline_s\":7.5", SHORT_DEADLINE)
                            .replace("\"n1\"", "\"n2\"")
                            .replace("\"goal_time_s\":1.5", "\"goal_time_s\":0.2")
                            .replace("\"east\"", "\"west\"");
            DispatcherServer first = startServer(firstEngines.dispatcherConfig());
            DispatcherServer second = startServer(secondConfig);
            DispatcherServer third = null;
            try {
                assertEquals(QueryStream.EXPECTED_ANSWER, query(first, "check", "acme", 7000));
                assertEquals(QueryStream.EXPECTED_ANSWER, query(second, "audit", "umbrella", 400));
                checkRejected(first, "audit", "acme", 400, "unknown class");
                checkRejected(second, "check", "umbrella", 400, "unknown class");
                checkRejected(first, "check", "umbrella", 400, "unknown tenant");
                checkRejected(second, "audit", "acme", 400, "unknown tenant");
                checkRejected(second, "audit", "umbrella", 7000, "timeout");
                assertEquals(QueryStream.EXPECTED_ANSWER, query(first, "check", "acme", 7000));
                assertEquals(2, firstEngines.countAttempts(""));
                assertEquals(1, secondEngines.countAttempts(""));
                first.stop();
                third =
                        startServer(
                                firstEngines.dispatcherConfig().replace("\"check\"", "\"third\""));
                checkRejected(third, "check", "acme", 7000, "unknown class");
                assertEquals(QueryStream.EXPECTED_ANSWER, query(third, "third", "acme", 7000));
                assertEquals(QueryStream.EXPECTED_ANSWER, query(second, "audit", "umbrella", 400));
            } finally {
                first.stop();
                second.stop();
                if (third != null) {
                    third.stop();
                }
            }
        }
    }
}
