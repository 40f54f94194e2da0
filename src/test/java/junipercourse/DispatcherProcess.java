package junipercourse;

import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The whole program as a separate process, started with a configuration and a limit of descriptors.
 */
public final class DispatcherProcess implements Closeable {
    private static final Pattern TEST_ONLY =
            Pattern.compile(
                    "test-classes|surefire|junit|jqwik|awaitility"
                            + "|hamcrest|archunit|opentest4j|apiguardian|slf4j");
    private final Process process;
    private final Path log;

    /** Starts the program; the system enforces {@code maxDescriptors}, as on the platform. */
    public DispatcherProcess(Path folder, int maxDescriptors) throws IOException {
        this(folder, maxDescriptors, folder.resolve("config.json"), "");
    }

    /**
     * Starts the program with a configuration from elsewhere, after a shell command; its log is in
     * the folder.
     */
    public DispatcherProcess(Path folder, int maxDescriptors, Path config, String shellPrefix)
            throws IOException {
        this(folder.resolve("log"), config, shellPrefix + shellCommand(maxDescriptors));
    }

    /** A shell command that limits the descriptors and replaces the shell by the program. */
    static String shellCommand(int maxDescriptors) {
        return "ulimit -n "
                + maxDescriptors
                + " && exec '"
                + System.getProperty("java.home")
                + "/bin/java' -XX:-UsePerfData -Xmx48m -XX:+UseSerialGC -cp '"
                + classPath()
                + "' junipercourse.cli.Main serve";
    }

    /** The class path without tests and their libraries: each jar on it may take a descriptor. */
    private static String classPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> !TEST_ONLY.matcher(entry).find())
                .collect(Collectors.joining(File.pathSeparator));
    }

    private DispatcherProcess(Path log, Path config, String command) throws IOException {
        this.log = log;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
    }

    /**
     * Starts the packaged program by the deploy file's command line, with the class archive beside
     * the jar.
     */
    public static DispatcherProcess startDeployed(Path log, Path config) throws IOException {
        return startDeployed(log, config, "");
    }

    /** Starts the packaged program after a shell command. */
    public static DispatcherProcess startDeployed(Path log, Path config, String shellPrefix)
            throws IOException {
        return new DispatcherProcess(log, config, shellPrefix + deployedCommand());
    }

    /**
     * Starts the classes under test with the JVM options of the deploy file's command line, and so
     * its limits of memory. The jar is not built yet while tests run; with {@code -Ddeployed=true}
     * a jar built before is started by the command line as it is.
     */
    public static DispatcherProcess startWithDeployedOptions(Path log, Path config)
            throws IOException {
        if (Boolean.getBoolean("deployed")) {
            return startDeployed(log, config);
        }
        String command =
                deployedCommand()
                        .replaceFirst("-XX:SharedArchiveFile=\\S+", "")
                        .replace(
                                "-jar target/junipercourse.jar",
                                "-cp '" + classPath() + "' junipercourse.cli.Main");
        return new DispatcherProcess(log, config, command);
    }

    private static String deployedCommand() throws IOException {
        String runLine =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return runLine.substring(runLine.indexOf('"') + 1, runLine.lastIndexOf('"'));
    }

    /** The most memory that the process has had resident so far, in bytes. */
    public long peakResidentBytes() throws IOException {
        String line =
                readProcFile("status")
                        .lines()
                        .filter(each -> each.startsWith("VmHWM:"))
                        .findFirst()
                        .orElseThrow();
        return Long.parseLong(line.replaceAll("\\D", "")) * 1024;
    }

    /** Reads a file of the process under {@code /proc}, such as {@code stat} or {@code maps}. */
    public String readProcFile(String name) throws IOException {
        return Files.readString(Path.of("/proc/" + process.pid() + "/" + name));
    }

    public long pid() {
        return process.pid();
    }

    /** Waits until clients can connect, and returns the address. */
    public InetSocketAddress address() {
        SocketTestSupport.await(
                () -> log().contains("listens on") || !isAlive(),
                ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        if (!log().contains("listens on")) {
            throw new AssertionError(log());
        }
        int port = Integer.parseInt(log().split("listens on [^:]*:")[1].split("\\D")[0]);
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** The log of the process so far. */
    public String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Sends a signal to this process alone. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Counts the descriptors that the process has open, as the system reports them. */
    public int countDescriptors() {
        String[] entries = new File("/proc/" + process.pid() + "/fd").list();
        return entries == null ? 0 : entries.length;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Whether the process exits within the given seconds. */
    public boolean exitsWithin(int seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        try {
            process.destroyForcibly().waitFor();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
