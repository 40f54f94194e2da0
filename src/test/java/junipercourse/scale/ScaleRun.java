package junipercourse.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The fleet at the size that is coming: hollow members on real sockets beside a few real
 * dispatchers. A long run, not part of the build, of the packaged program: {@code mvn -q -B -ntp
 * test -Dtest=ScaleRun -Dscale.sizes=45,90 -Dscale.out=FILE}. It runs in a process of its own with
 * a heap of its own ({@code scale.heap}, 6g), which ends all that it has started.
 *
 * <p>Further properties, with their defaults: {@code scale.plays} (all of {@link
 * FleetScenarios#ALL}), {@code scale.real} (6), {@code scale.threads} (half the cores, 4 at most),
 * {@code scale.seed} (34), {@code scale.variant} (landed), {@code scale.commit} (unknown), {@code
 * scale.delay} (most seconds a datagram is held back, 0), {@code scale.least} (least seconds of a
 * play, 5), {@code scale.calm} (s, 10), {@code scale.apart} (s, 20), {@code scale.warm} (s of an
 * unmeasured fleet before, 10), {@code scale.memory} (GB, 11), {@code scale.wall} (s, 1800), {@code
 * scale.packaged} (true; false runs the class path).
 */
class ScaleRun {
    private static final int EXIT_TIMEOUT_SECONDS = 30;

    @Test
    void allScenariosAreRun() throws IOException, InterruptedException {
        assertTrue(
                "false".equals(System.getProperty("scale.packaged"))
                        || Files.exists(Path.of("target/junipercourse.jar")),
                "package the program first");
        List<String> command =
                new ArrayList<>(
                        List.of(
                                System.getProperty("java.home") + "/bin/java",
                                "-Xmx" + System.getProperty("scale.heap", "6g"),
                                "-XX:+UseG1GC",
                                "-XX:MaxGCPauseMillis=50",
                                "-XX:-UsePerfData",
                                "-cp",
                                System.getProperty("java.class.path")));
        System.getProperties().stringPropertyNames().stream()
                .filter(key -> key.startsWith("scale."))
                .forEach(key -> command.add("-D" + key + "=" + System.getProperty(key)));
        command.add(ScaleMain.class.getName());
        Process run = new ProcessBuilder(command).redirectErrorStream(true).start();
        Runtime.getRuntime().addShutdownHook(new Thread(run::destroy, "end-scale-run"));
        try {
            run.inputReader().lines().forEach(System.out::println);
            assertTrue(run.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "the run does not end");
            assertEquals(0, run.exitValue(), "not all plays were run");
        } finally {
            run.destroy(); // it ends its own children then
        }
    }
}
