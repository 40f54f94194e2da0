package junipercourse.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.BufferedInputStream;
import java.io.IOException;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.log.BoundedConsoleWriter;
import junipercourse.sim.SimHost;

/** Runs the command line. Exit codes: 0 success, 1 failure, 2 wrong usage or configuration. */
public final class Main {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final String SERVE = "serve";
    private static final String PRODUCT_VARIABLE = "JUNIPER_PRODUCT";

    private Main() {}

    @Parameters(
            commandNames = SERVE,
            commandDescription = "runs one dispatcher with the configuration file RELAY_CONFIG")
    private static final class Serve {
        @Parameter(names = "--product", description = "the product file; overrides JUNIPER_PRODUCT")
        private String product = System.getenv(PRODUCT_VARIABLE);
    }

    @Parameters(
            commandNames = "simhost",
            commandDescription = "hosts instances that speak the simulator's protocol")
    private static final class SimHostCommand {}

    @Parameters(
            commandNames = "check",
            commandDescription = "reads the configuration, starts all components with it and exits")
    private static final class Check {}

    @Parameters(
            commandNames = "rehearse",
            commandDescription =
                    "serves a query of each class with its own client and engine, to record the"
                            + " class archive")
    private static final class Rehearse {}

    @Parameters(commandNames = "version", commandDescription = "prints the version")
    private static final class Version {}

    /** Options before any command. */
    private static final class Options {
        @Parameter(
                names = {"-h", "--help"},
                help = true,
                description = "prints this text")
        private boolean help;
    }

    public static void main(String[] args) {
        int code = run(args);
        if (code != 0) {
            BoundedConsoleWriter.closeAll();
            System.exit(code);
        }
    }

    static int run(String[] args) {
        if (args.length == 1 && args[0].equals(SERVE) && System.getenv(PRODUCT_VARIABLE) == null) {
            return executeAndReport(SERVE, null); // skips the parser, a tenth of the startup time
        }
        Options options = new Options();
        Serve serve = new Serve();
        JCommander commands =
                JCommander.newBuilder()
                        .programName("junipercourse")
                        .addObject(options)
                        .addCommand(serve)
                        .addCommand(new SimHostCommand())
                        .addCommand(new Check())
                        .addCommand(new Rehearse())
                        .addCommand(new Version())
                        .build();
        try {
            commands.parse(args);
        } catch (ParameterException e) {
            System.err.println("junipercourse: " + e.getMessage());
            return EXIT_USAGE;
        }
        if (options.help || commands.getParsedCommand() == null) {
            StringBuilder usage = new StringBuilder();
            commands.getUsageFormatter().usage(usage);
            System.out.print(usage);
            return options.help ? 0 : EXIT_USAGE;
        }
        return executeAndReport(commands.getParsedCommand(), serve.product);
    }

    private static int executeAndReport(String command, String product) {
        try {
            return execute(command, product);
        } catch (ConfigException e) {
            System.err.println("junipercourse: configuration: " + e.getMessage());
            return EXIT_USAGE;
        } catch (IOException e) {
            System.err.println("junipercourse: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private static int execute(String command, String product) throws IOException {
        switch (command) {
            case SERVE -> {
                JmxSuppression.install();
                if (product != null) {
                    return ServeWithProduct.run(product, System.getenv());
                }
                DispatcherServer server = new DispatcherServer(Config.read(System.getenv()));
                server.reloadOnSighup(System.getenv());
                server.installShutdownHook();
                server.start();
            }
            case "simhost" -> {
                return new SimHost(System.err)
                        .run(new BufferedInputStream(System.in, 1 << 16), System.out);
            }
            case "check" -> {
                JmxSuppression.install();
                Config config = Config.read(System.getenv());
                DispatcherServer server = new DispatcherServer(config);
                server.start();
                server.stop();
                BoundedConsoleWriter.closeAll();
                System.out.println("the configuration of " + config.name() + " is valid");
            }
            case "rehearse" -> {
                JmxSuppression.install();
                new ClassArchiveWarmup(System.getenv()).run();
                System.exit(0); // runs the shutdown hook, as when a dispatcher exits
            }
            case "version" -> System.out.println("junipercourse " + version());
            default -> throw new IllegalStateException(command);
        }
        return 0;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(built without a version)" : version;
    }
}
