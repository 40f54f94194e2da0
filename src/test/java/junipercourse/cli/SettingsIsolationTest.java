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

/** Two customers' dispatchers in one JVM, at the same time and one after the other. */
class SettingsIsolationTest {
    private static final String SHORT = "deadline_s\":0.4";

    private static String script(String call) {
        return call.startsWith("DELETE") ? SocketTestSupport.CANCELLED : SocketTestSupport.OK;
    }

    private static DispatcherServer server(String config) throws IOException {
        DispatcherServer s = new DispatcherServer(Config.parse(config, Map.of()));
        s.start();
        return s;
    }

    private static String ask(DispatcherServer s, String kind, String owner, int timeoutMs)
            throws IOException {
        InetSocketAddress at = s.address();
        return QueryStream.queryOnce(
                at,
                QueryStream.query(kind)
                        .replace("acme", owner)
                        .replace("timeout=7000", "timeout=" + timeoutMs));
    }

    private static void refuses(
            DispatcherServer s, String kind, String owner, int timeoutMs, String why)
            throws IOException {
        String answer = ask(s, kind, owner, timeoutMs);
        assertTrue(answer.startsWith("E(") && answer.contains(why), answer);
    }

    /**
     * Classes, tenants, deadlines and engines are those of the one that is asked, whoever came
     * first.
     */
    @Test
    void eachAnswersByItsOwnSettings() throws Exception {
        try (StubEngines ours = new StubEngines(1, SettingsIsolationTest::script);
                StubEngines theirs = new StubEngines(1, SettingsIsolationTest::script)) {
            String other =
                    theirs.dispatcherConfig()
                            .replace("\"check\"", "\"audit\"")
                            .replace("\"acme\"", "\"umbrella\"")
                            .replace("deadline_s\":7.5", SHORT)
                            .replace("\"n1\"", "\"n2\"")
                            .replace("\"goal_time_s\":1.5", "\"goal_time_s\":0.2")
                            .replace("\"east\"", "\"west\"");
            DispatcherServer first = server(ours.dispatcherConfig());
            DispatcherServer second = server(other);
            DispatcherServer third = null;
            try {
                assertEquals(QueryStream.EXPECTED_ANSWER, ask(first, "check", "acme", 7000));
                assertEquals(QueryStream.EXPECTED_ANSWER, ask(second, "audit", "umbrella", 400));
                refuses(first, "audit", "acme", 400, "unknown class");
                refuses(second, "check", "umbrella", 400, "unknown class");
                refuses(first, "check", "umbrella", 400, "unknown tenant");
                refuses(second, "audit", "acme", 400, "unknown tenant");
                refuses(second, "audit", "umbrella", 7000, "timeout");
                assertEquals(QueryStream.EXPECTED_ANSWER, ask(first, "check", "acme", 7000));
                assertEquals(2, ours.countAttempts(""));
                assertEquals(1, theirs.countAttempts(""));
                first.stop();
                third = server(ours.dispatcherConfig().replace("\"check\"", "\"third\""));
                refuses(third, "check", "acme", 7000, "unknown class");
                assertEquals(QueryStream.EXPECTED_ANSWER, ask(third, "third", "acme", 7000));
                assertEquals(QueryStream.EXPECTED_ANSWER, ask(second, "audit", "umbrella", 400));
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
