package junipercourse.pg;

import static junipercourse.TestBench.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import junipercourse.TestBench;
import junipercourse.TestBench.Client;
import junipercourse.TestBench.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SessionTest {
    private static final String SERVED = "T D(a b c) C(SELECT 1)";
    private final TestBench bench;
    private StubEngine engine;

    SessionTest() throws Exception {
        bench = new TestBench();
    }

    @BeforeEach
    void start() throws Exception {
        engine = bench.engine(1, call -> TestBench.OK);
    }

    @AfterEach
    void close() throws Exception {
        bench.close();
    }

    @Test
    void aQueryMayFollowTheStartAtOnceAndTheNextOneBeforeItsAnswer() throws Exception {
        Client client = bench.client();
        client.write(Client.startup(), Client.message(query("check", 1, 5000)),
                Client.message(query("check", 2, 5000)), Client.message(" "));
        assertEquals("", client.answer());
        assertEquals(SERVED, client.answer());
        assertEquals(SERVED, client.answer());
        assertEquals("I", client.answer());
    }

    @Test
    void bytesMayComeOneByOneAfterARefusedEncryption() throws Exception {
        Client client = bench.client();
        client.write(ByteBuffer.allocate(8).putInt(8).putInt(80877103).array());
        assertEquals('N', client.socket.getInputStream().read());
        for (byte[] part : new byte[][] {Client.startup(), Client.message(query("check", 1, 5000))}) {
            for (byte b : part) {
                client.write(new byte[] {b});
            }
        }
        assertEquals("", client.answer());
        assertEquals(SERVED, client.answer());
    }

    @Test
    void countersAreShownOnRequest() throws Exception {
        Client client = bench.client().start();
        client.ask(query("check", 1, 5000));
        String shown = client.ask("show counters;");
        assertTrue(shown.contains("D(queries served 1)") && shown.contains("D(ends ok 1)"), shown);
    }

    /** A client that asks on and on and does not read is no longer read from; nobody else is harmed. */
    @Test
    void aClientThatDoesNotReadIsHeldBack() throws Exception {
        Client deaf = bench.client().start();
        deaf.socket.setSoTimeout(5000);
        TestBench.daemon(() -> {
            for (int i = 0; i < 200_000; i++) {
                deaf.write(Client.message("SHOW COUNTERS"));
            }
        });
        TestBench.pause(300);
        assertEquals(SERVED, bench.client().start().ask(query("check", 1, 5000)));
        for (int i = 0; i < 1000; i++) { // and once it reads, it gets what it asked for
            assertTrue(deaf.answer().startsWith("T D(clients accepted "));
        }
    }

    /** What cannot be taken is answered or closed, reaches no engine and harms nobody else. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "00000008ffffffff | E(08P01 protocol version 65535.65535 is not spoken here) closed=true",
        "7fffffff00030000 | E(08P01 a message of 2147483647 bytes) closed=true",
        "0000000900030000 00 | E(08P01 the start-up packet names no user) closed=true",
        "start 51ffffffff | E(08P01 a message of 4294967295 bytes) closed=true",
        "start 510000000541 | E(08P01 a query without its end) closed=true",
        "start 5000000004 | E(0A000 only simple queries are taken here, no message of type 80) closed=true",
        "start 510000000d53454c45435420 3100 | E(22023 kind: missing; no comment with fields stands before"
            + " the statement)"})
    void badInputIsAnsweredAndReachesNoEngine(String hex, String expected) throws Exception {
        Client client = bench.client();
        String bytes = hex.replace(" ", "").replace("start", "");
        if (hex.startsWith("start")) {
            client.start();
        }
        client.write(java.util.HexFormat.of().parseHex(bytes));
        assertEquals(expected, client.answer());
        assertTrue(engine.calls.isEmpty());
        assertEquals(SERVED, bench.client().start().ask(query("check", 1, 5000)));
    }
}
