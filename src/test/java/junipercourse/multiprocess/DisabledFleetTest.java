package junipercourse.multiprocess;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Without a product file, the dispatcher loads no class of the components that the file enables, by
 * the JVM's class loading log.
 */
class DisabledFleetTest {
    private static final Pattern OPTIONAL_CLASSES =
            Pattern.compile(
                    "io\\.undertow|junipercourse\\.(admin|cli\\.(AdminService|HandoverCoordinator))\\b"
                        + "|junipercourse\\.(fleet|product|core\\.OptionalComponent|cli\\.ServeW)"
                        + "|com\\.google\\.protobuf|org\\.jctools|xerces|javax\\.xml|org\\.xml\\.sax"
                        + "|org\\.apache\\.commons|net\\.openhft");
    @TempDir private Path folder;

    private List<String> loadedOptionalClasses(String productCommand) throws Exception {
        Path classLog = folder.resolve("classes");
        Files.writeString(folder.resolve("config.json"), SocketTestSupport.CONFIG);
        try (DispatcherProcess process =
                new DispatcherProcess(
                        folder,
                        1024,
                        folder.resolve("config.json"),
                        productCommand
                                + "export JAVA_TOOL_OPTIONS='-Xlog:class+load:file="
                                + classLog
                                + "'; ")) {
            try (Client client = new Client(process.address())) {
                client.startSession().query("SHOW COUNTERS");
                client.query("SHOW FLEET");
            }
            process.signal("TERM");
            assertTrue(process.exitsWithin(5), process.log());
        }
        return readOptionalClasses(classLog);
    }

    private static List<String> readOptionalClasses(Path classLog) throws IOException {
        return Files.readAllLines(classLog).stream()
                .filter(line -> OPTIONAL_CLASSES.matcher(line).find())
                .toList();
    }

    @Test
    void withoutProductFileLoadsNoOptionalClass() throws Exception {
        assertEquals(List.of(), loadedOptionalClasses(""));
        assertTrue(
                Files.readString(folder.resolve("classes")).contains("junipercourse.core.Gateway"));
    }

    @Test
    void withProductFileLoadsFleetService() throws Exception {
        Path product = folder.resolve("p.xml");
        Files.writeString(
                product,
                "<product><fleet name='f' listen='127.0.0.9:0' advertise='127.0.0.9:9'/>"
                        + "</product>");
        List<String> loadedClasses =
                loadedOptionalClasses("export JUNIPER_PRODUCT='" + product + "'; ");
        assertTrue(
                loadedClasses.stream()
                        .anyMatch(line -> line.contains("junipercourse.fleet.FleetService ")));
    }

    /**
     * An invalid product file is reported with its position and element, and nothing is started.
     */
    @Test
    void invalidProductFileExitsWithCodeTwo() throws Exception {
        Path product = folder.resolve("p.xml");
        Files.writeString(product, "<product><fleet name='f' listen='here'/></product>");
        Files.writeString(folder.resolve("config.json"), SocketTestSupport.CONFIG);
        Path log = folder.resolve("log");
        ProcessBuilder builder =
                new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "junipercourse.cli.Main",
                        "serve",
                        "--product",
                        product.toString());
        builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
        assertEquals(
                2,
                builder.redirectErrorStream(true).redirectOutput(log.toFile()).start().waitFor());
        assertEquals(
                product
                        + ":1:41: fleet: listen: 'here' cannot be used; right would be a numeric"
                        + " address and a port, such as 127.0.0.1:7101\n",
                Files.readString(log));
    }

    /** The run from which the build creates the class archive loads no optional class either. */
    @Test
    void rehearsalLoadsNoOptionalClass() throws Exception {
        Path classLog = folder.resolve("classes");
        ProcessBuilder builder =
                new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-Xlog:class+load:file=" + classLog,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "junipercourse.cli.Main",
                        "rehearse");
        builder.environment().put("RELAY_CONFIG", "deploy/sample.json");
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:0");
        assertEquals(
                0,
                builder.redirectErrorStream(true)
                        .redirectOutput(folder.resolve("log").toFile())
                        .start()
                        .waitFor());
        assertEquals(List.of(), readOptionalClasses(classLog));
    }
}
