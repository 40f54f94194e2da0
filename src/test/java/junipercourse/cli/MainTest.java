package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {
    @ParameterizedTest
    @CsvSource({
        "version,0",
        "--help,0",
        "'',2",
        "fly,2",
        "serve --fast,2",
        "serve,2",
        "check,2",
        "rehearse,2"
    })
    void runReturnsExitCodeForArguments(String commandLine, int expectedCode) {
        assertEquals(
                expectedCode,
                Main.run(commandLine.isEmpty() ? new String[0] : commandLine.split(" ")));
    }
}
