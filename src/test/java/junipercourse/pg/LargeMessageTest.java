package junipercourse.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a message whose parsing takes so long that other clients get no answer. */
class LargeMessageTest {
    private static final int TEXT_BYTES = FrontendMessageDecoder.MAX_MESSAGE_BYTES - 100;

    /** Less than the time within which a late answer still counts as one, 0.5 s. */
    private static final double MAX_WAIT_SECONDS = 0.5;

    private final SocketTestSupport support = new SocketTestSupport();

    LargeMessageTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    static Stream<Arguments> largeStatements() {
        String head = SocketTestSupport.query("check", 1, 5000).replace("SELECT 1", "");
        return Stream.of(
                Arguments.of("spaces in a SHOW", fill("show x", " ", "!")),
                Arguments.of("spaces before a SHOW", fill("", " ", "show x !")),
                Arguments.of("letters in a SHOW", fill("show ", "x", "!")),
                Arguments.of("empty fields", fill("/* ", ",", " */ SELECT 1")),
                Arguments.of("repeated fields", fill("/* ", "a=,", " */ SELECT 1")),
                Arguments.of("opened comments", fill("", "/*", "")),
                Arguments.of("opened and closed comments", fill("/*", "/**/", "*/ SELECT 1")),
                Arguments.of("spaces in the fields", fill("/* kind=", " ", "x */ SELECT 1")),
                Arguments.of("digits in a number", fill("/* kind=check,timeout=", "1", " */ x")),
                Arguments.of("table names", fill(head, "a.b,", "")),
                Arguments.of("dots", fill(head, ".", "")),
                Arguments.of("opened dollar quotes", fill(head, "$a", "")),
                Arguments.of("dollar quotes", fill(head, "$a$ $b", "")),
                Arguments.of("quotes", fill(head, "'", "")),
                Arguments.of("line comments", fill(head, "--\n", "")));
    }

    private static String fill(String start, String repeated, String end) {
        int count = (TEXT_BYTES - start.length() - end.length()) / repeated.length();
        return start + repeated.repeat(count) + end;
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("largeStatements")
    void otherClientIsAnsweredBesideLargeStatement(String name, String statement) throws Exception {
        Client other = support.connectClient().startSession();
        Client sender = support.connectClient().startSession();
        sender.write(Client.queryMessage(statement));
        SocketTestSupport.sleepMillis(20); // the statement is being parsed by then

        long start = System.nanoTime();
        String answer = other.query(" ");
        double waitSeconds = (System.nanoTime() - start) / 1e9;

        assertEquals("I", answer);
        assertTrue(waitSeconds < MAX_WAIT_SECONDS, "answered after " + waitSeconds + " s");
    }
}
