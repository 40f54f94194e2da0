package junipercourse.engine;

import static junipercourse.SocketTestSupport.OK;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.Test;

/**
 * Connections to engines that come up late: the settings' time bounds that, and the answer has its
 * own.
 */
class LateConnectionTest {
    private static final String SERVED = "T D(a b c) C(SELECT 1)";

    private static SocketTestSupport bench(String dialTimeout) throws Exception {
        return new SocketTestSupport(
                SocketTestSupport.CONFIG.replace("\"dial_timeout_s\":0.25", dialTimeout), 512);
    }

    /**
     * Longer than an answer's time: the connection of a second's age carries the query all the
     * same.
     */
    @Test
    void aConnectionWithinTheSettingsTimeCarriesItsQuery() throws Exception {
        try (SocketTestSupport bench = bench("\"dial_timeout_s\":3.0");
                FullAcceptQueue late = new FullAcceptQueue()) {
            bench.updateEndpointAndWait(1, late.listed(), EngineStage.READY);
            Client client = bench.connectClient().startSession();
            client.write(Client.queryMessage(query("check", 1, 7000)));
            SocketTestSupport.await(() -> bench.counters.get(Count.ATTEMPTS_SENT) == 1);
            AtomicReference<String> first = new AtomicReference<>("");
            SocketTestSupport.startDaemon(
                    () -> {
                        try (Socket s = late.open()) {
                            byte[] got = new byte[4];
                            first.set(
                                    new String(
                                            got,
                                            0,
                                            s.getInputStream().read(got),
                                            StandardCharsets.ISO_8859_1));
                            SocketTestSupport.sleepMillis(
                                    250); // as an engine that holds a call for news
                            s.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                            s.getInputStream().read(new byte[4096]);
                        }
                    });
            assertEquals(SERVED, client.readAnswer());
            assertEquals("POST", first.get());
            assertEquals(1, bench.counters.get(Count.ATTEMPTS_SENT));
        }
    }

    /**
     * One that never comes up is told as unreachable when the settings' time is up: the query goes
     * on.
     */
    @Test
    void oneThatNeverComesUpLeavesTheQueryToOthers() throws Exception {
        try (SocketTestSupport bench = bench("\"dial_timeout_s\":0.8");
                FullAcceptQueue never = new FullAcceptQueue()) {
            bench.updateEndpointAndWait(1, never.listed(), EngineStage.READY);
            Client client = bench.connectClient().startSession();
            client.write(Client.queryMessage(query("check", 1, 7000)));
            SocketTestSupport.await(() -> bench.counters.get(Count.ATTEMPTS_SENT) == 1);
            bench.startEngine(2, call -> OK);
            assertEquals(SERVED, client.readAnswer());
            assertEquals(1, bench.counters.get(Count.ENDS_UNREACHABLE));
            assertEquals(0, bench.counters.get(Count.ENDS_MOOT));
        }
    }
}
