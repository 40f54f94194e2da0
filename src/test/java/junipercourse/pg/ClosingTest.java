package junipercourse.pg;

import static junipercourse.TestBench.query;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import junipercourse.TestBench;
import junipercourse.TestBench.Client;
import junipercourse.TestBench.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Closes by either side that cross something else; the dispatcher's thread is held to force it. */
class ClosingTest {
    private static final String ENDING = "E(57P03 the dispatcher is shutting down)";
    private final TestBench bench;
    private StubEngine engine;
    private volatile String answer = TestBench.OK;

    ClosingTest() throws Exception {
        bench = new TestBench();
    }

    @BeforeEach
    void start() throws Exception {
        engine = bench.engine(1, call -> {
            TestBench.pause(20);
            return call.startsWith("DELETE") ? TestBench.GIVEN_UP : answer;
        });
    }

    @AfterEach
    void close() throws Exception {
        bench.close();
    }

    // ---- the listening socket ----

    /** Those that the system let in before the listening socket closed are ours: refused, not reset. */
    @Test
    void whoWaitsAtTheSocketThatIsClosedIsAnswered() throws Exception {
        Runnable release = bench.hold();
        bench.behind(front -> front.end(() -> { }));
        List<Client> waiting = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Client late = bench.client();
            late.write(Client.startup(), Client.message(query("check", i, 5000)));
            waiting.add(late);
        }
        release.run();
        for (Client late : waiting) {
            assertEquals("", late.answer());
            assertEquals(ENDING, late.answer());
        }
        assertEquals(0, engine.count("POST"));
    }
}
