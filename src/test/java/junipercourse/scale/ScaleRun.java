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
 * Runs the fleet at planned sizes: hollow members on real sockets beside a few real dispatchers. A
 * long run of the packaged program that is not part of the build: {@code mvn -q -B -ntp test
 * -Dtest=ScaleRun -Dscale.sizes=45,90 -Dscale.out=FILE}. It runs in a separate process with its own
 * heap ({@code scale.heap}, 6g), which ends every process that it has started.
 *
 * <p>Further properties, with their defaults: {@code scale.plays} (all of {@link
 * FleetScenarios#ALL}), {@code scale.real} (6), {@code scale.threads} (half the cores, at most 4),
 * {@code scale.seed} (34), {@code scale.variant} (landed), {@code scale.commit} (unknown), {@code
 * scale.delay} (maximum delay of a datagram in seconds, 0), {@code scale.least} (minimum seconds of
 * a scenario, 5), {@code scale.calm} (seconds of the calm and loss scenarios, 10), {@code
 * scale.apart} (seconds of the partition, 20), {@code scale.warm} (seconds of the unmeasured
 * warm-up fleet, 10), {@code scale.memory} (limit in GB, 11), {@code scale.wall} (time limit in
 * seconds, 1800), {@code scale.packaged} (true; false runs from the class path).
 */
class ScaleRun {
    private static final int EXIT_TIMEOUT_SECONDS = 30;

    @Test
    void allScenariosAreRun() throws IOException, InterruptedException {
        assertTrue(
                "false".equals(System.getProperty("scale.packaged"))
                        || Files.exists(Path.of("target/junipercourse.jar")),
                "target/junipercourse.jar is missing: package the program first");
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
            assertTrue(
                    run.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    "the run did not exit in time");
            assertEquals(0, run.exitValue(), "exit code: not all scenarios were run");
        } finally {
            run.destroy(); // it then ends its own child processes
        }
    }
}
