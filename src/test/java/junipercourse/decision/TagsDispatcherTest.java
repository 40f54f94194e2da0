package junipercourse.decision;

import static junipercourse.decision.DispatcherScenarios.IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.NOT_IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.withFourEngines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.RequestId;
import org.junit.jupiter.api.Test;

/** Determinism, isolation and unexpected events. */
class TagsDispatcherTest {
    @Test
    void ignoresEventsOfUnknownRequests() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        dispatcher.endAttempt(77, 0, 1, AttemptOutcome.OK, true);
        dispatcher.module.requestAbandoned(dispatcher.now, new RequestId(77));
        assertEquals(List.of(), dispatcher.takeActions());
    }

    @Test
    void repeatsItsActionsForTheSameEvents() {
        List<List<String>> runs = List.of(runScript(), runScript());
        assertEquals(runs.get(0), runs.get(1));
        assertFalse(runs.get(0).isEmpty());
    }

    private static List<String> runScript() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT, NOT_IDEMPOTENT);
        for (int i = 0; i < 100; i++) {
            dispatcher.receiveRequest(i, i % 2, dispatcher.now + 2 + i % 3, 0);
            dispatcher.advance(0.05);
        }
        return dispatcher.takeActions();
    }

    @Test
    void keepsInstancesIndependent() {
        RecordingDispatcher first = withFourEngines(IDEMPOTENT, NOT_IDEMPOTENT);
        RecordingDispatcher second = withFourEngines(IDEMPOTENT, NOT_IDEMPOTENT);
        for (int i = 0; i < 100; i++) {
            for (RecordingDispatcher dispatcher : List.of(first, second)) {
                dispatcher.receiveRequest(i, i % 2, dispatcher.now + 2 + i % 3, 0);
                dispatcher.advance(0.05);
            }
        }
        assertEquals(runScript(), first.takeActions());
        assertEquals(runScript(), second.takeActions());
    }

    @Test
    void namesAnUnknownQueryClassInTheError() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        try {
            dispatcher.receiveRequest(1, 5, dispatcher.now + 10, 0);
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("class"));
            return;
        }
        throw new AssertionError("accepted a request of an unknown query class");
    }

    /**
     * The deploy file lists the files of the decision module; other checks limit the length of
     * files and lines.
     */
    @Test
    void listsAllFilesOfTheModuleInTheDeployFile() throws IOException {
        Matcher matcher =
                Pattern.compile("\"(src/main/java/junipercourse/decision/[\\w/-]+[.]java)\"")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        List<String> listed = new ArrayList<>();
        while (matcher.find()) {
            listed.add(matcher.group(1));
        }
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/junipercourse/decision"))) {
            assertEquals(
                    files.filter(file -> file.toString().endsWith(".java"))
                            .map(Path::toString)
                            .sorted()
                            .toList(),
                    listed.stream().sorted().toList());
        }
    }
}
