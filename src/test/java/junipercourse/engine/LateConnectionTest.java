package junipercourse.engine;

import static junipercourse.SocketTestSupport.OK;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.Test;

/**
 * Engine connections that are established late: the dial timeout limits the time to connect, and
 * the response has a timeout of its own.
 */
class LateConnectionTest {
    private static final String SERVED = "T D(a b c) C(SELECT 1)";

    private static SocketTestSupport createSupport(String dialTimeoutSetting) throws Exception {
        return new SocketTestSupport(
                SocketTestSupport.CONFIG.replace("\"dial_timeout_s\":0.25", dialTimeoutSetting),
                512);
    }

    /**
     * A connection established after a second, which is longer than the response timeout, still
     * carries its query.
     */
    @Test
    void connectionOpenedWithinDialTimeoutCarriesItsQuery() throws Exception {
        try (SocketTestSupport support = createSupport("\"dial_timeout_s\":3.0");
                FullAcceptQueue lateEngine = new FullAcceptQueue()) {
            support.updateEndpointAndWait(1, lateEngine.endpoint(), EngineStage.READY);
            Client client = support.connectClient().startSession();
            client.write(Client.queryMessage(query("check", 1, 7000)));
            SocketTestSupport.await(() -> support.counters.get(Count.ATTEMPTS_SENT) == 1);
            AtomicReference<String> requestMethod = new AtomicReference<>("");
            SocketTestSupport.startDaemon(
                    () -> {
                        try (Socket socket = lateEngine.drainAndAccept()) {
                            byte[] buffer = new byte[4];
                            requestMethod.set(
                                    new String(
                                            buffer,
                                            0,
                                            socket.getInputStream().read(buffer),
                                            StandardCharsets.ISO_8859_1));
                            SocketTestSupport.sleepMillis(250); // as an engine that holds a poll
                            socket.getOutputStream()
                                    .write(OK.getBytes(StandardCharsets.ISO_8859_1));
                            socket.getInputStream().read(new byte[4096]);
                        }
                    });
            assertEquals(SERVED, client.readAnswer());
            assertEquals("POST", requestMethod.get());
            assertEquals(1, support.counters.get(Count.ATTEMPTS_SENT));
        }
    }

    /**
     * An engine without connection by the dial timeout counts as unreachable; its query goes to
     * another one.
     */
    @Test
    void dialTimeoutMovesQueryToAnotherEngine() throws Exception {
        try (SocketTestSupport support = createSupport("\"dial_timeout_s\":0.8");
                FullAcceptQueue unreachableEngine = new FullAcceptQueue()) {
            support.updateEndpointAndWait(1, unreachableEngine.endpoint(), EngineStage.READY);
            Client client = support.connectClient().startSession();
            client.write(Client.queryMessage(query("check", 1, 7000)));
            SocketTestSupport.await(() -> support.counters.get(Count.ATTEMPTS_SENT) == 1);
            support.startEngine(2, call -> OK);
            assertEquals(SERVED, client.readAnswer());
            assertEquals(1, support.counters.get(Count.ENDS_UNREACHABLE));
            assertEquals(0, support.counters.get(Count.ENDS_MOOT));
        }
    }
}
