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
 * {@code serve} with a product file. Apart from {@link Main}, so that nothing of it is loaded
 * without one.
 */
final class ServeWithProduct {
    private static final int WRONG = 2;

    private ServeWithProduct() {}

    /**
     * Returns the exit code; 0 once the dispatcher runs. All faults of the file go to standard
     * error.
     */
    static int run(String file, Map<String, String> environment) throws IOException {
        Product product;
        try {
            product = ProductReader.read(file);
        } catch (InvalidProductFileException e) {
            e.errors().forEach(System.err::println);
            return WRONG;
        }
        Config config = Config.read(environment);
        OptionalComponent fleet =
                product.fleet() == null ? null : new FleetService(config.name(), product.fleet());
        DispatcherServer server = new DispatcherServer(config, fleet);
        server.reloadOnHangUp(environment);
        server.finishOnShutdown();
        server.start();
        return 0;
    }
}
