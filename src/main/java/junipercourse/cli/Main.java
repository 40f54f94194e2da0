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

/** The command line. Exit codes: 0 done, 1 failed, 2 called or configured wrongly. */
public final class Main {
    private static final int FAILED = 1;
    private static final int WRONG = 2;
    private static final String SERVE = "serve";
    private static final String PRODUCT = "JUNIPER_PRODUCT";

    private Main() {}

    @Parameters(
            commandNames = SERVE,
            commandDescription = "runs one dispatcher, as RELAY_CONFIG tells it")
    private static final class Serve {
        @Parameter(
                names = "--product",
                description = "the product file; goes before JUNIPER_PRODUCT")
        private String product = System.getenv(PRODUCT);
    }

    @Parameters(
            commandNames = "simhost",
            commandDescription = "hosts instances on the simulator's wire")
    private static final class SimHostCommand {}

    @Parameters(
            commandNames = "check",
            commandDescription = "reads the configuration, starts all parts on it and ends")
    private static final class Check {}

    @Parameters(
            commandNames = "rehearse",
            commandDescription =
                    "serves a query of each class with a client and an engine of its own, for the"
                            + " class archive")
    private static final class Rehearse {}

    @Parameters(commandNames = "version", commandDescription = "prints the version")
    private static final class Version {}

    /** What stands before any command. */
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
        if (args.length == 1 && args[0].equals(SERVE) && System.getenv(PRODUCT) == null) {
            return carryOut(SERVE, null); // the parser would take a tenth of a start, for nothing
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
            return WRONG;
        }
        if (options.help || commands.getParsedCommand() == null) {
            StringBuilder usage = new StringBuilder();
            commands.getUsageFormatter().usage(usage);
            System.out.print(usage);
            return options.help ? 0 : WRONG;
        }
        return carryOut(commands.getParsedCommand(), serve.product);
    }

    private static int carryOut(String command, String product) {
        try {
            return execute(command, product);
        } catch (ConfigException e) {
            System.err.println("junipercourse: configuration: " + e.getMessage());
            return WRONG;
        } catch (IOException e) {
            System.err.println("junipercourse: " + e.getMessage());
            return FAILED;
        }
    }

    private static int execute(String command, String product) throws IOException {
        switch (command) {
            case SERVE -> {
                JmxSuppression.demand();
                if (product != null) {
                    return ServeWithProduct.run(product, System.getenv());
                }
                DispatcherServer server = new DispatcherServer(Config.read(System.getenv()));
                server.reloadOnHangUp(System.getenv());
                server.finishOnShutdown();
                server.start();
            }
            case "simhost" -> {
                return new SimHost(System.err)
                        .run(new BufferedInputStream(System.in, 1 << 16), System.out);
            }
            case "check" -> {
                JmxSuppression.demand();
                Config config = Config.read(System.getenv());
                DispatcherServer server = new DispatcherServer(config);
                server.start();
                server.stop();
                BoundedConsoleWriter.closeAll();
                System.out.println("the configuration of " + config.name() + " can be used");
            }
            case "rehearse" -> {
                JmxSuppression.demand();
                new ClassArchiveWarmup(System.getenv()).run();
                System.exit(0); // by way of the shutdown hook, as a dispatcher ends
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
