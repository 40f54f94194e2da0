package junipercourse.cli;

import java.io.IOException;
import java.util.Map;
import junipercourse.config.Config;
import junipercourse.core.OptionalComponent;
import junipercourse.fleet.FleetService;
import junipercourse.product.InvalidProductFileException;
import junipercourse.product.Product;
import junipercourse.product.ProductReader;

/**
 * Runs {@code serve} with a product file. Separate from {@link Main}, so that its classes are not
 * loaded without one.
 */
final class ServeWithProduct {
    private static final int EXIT_USAGE = 2;

    private ServeWithProduct() {}

    /**
     * Returns the exit code, 0 once the dispatcher runs. Faults of the file go to standard error.
     */
    static int run(String productFile, Map<String, String> environment) throws IOException {
        Product product;
        try {
            product = ProductReader.read(productFile);
        } catch (InvalidProductFileException e) {
            e.errors().forEach(System.err::println);
            return EXIT_USAGE;
        }
        Config config = Config.read(environment);
        OptionalComponent fleet =
                product.fleet() == null ? null : new FleetService(config.name(), product.fleet());
        DispatcherServer server = new DispatcherServer(config, fleet);
        server.reloadOnSighup(environment);
        server.installShutdownHook();
        server.start();
        return 0;
    }
}
