package junipercourse.cli;

import java.util.List;
import java.util.Map;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.discovery.EndpointWatcher;
import junipercourse.discovery.InitialEventsReader;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;

/**
 * Reloads the configuration file on SIGHUP, which would otherwise end the JVM, and applies the
 * settings that may change while running.
 */
final class ConfigReloader {
    private final EventLoop loop;
    private final EndpointWatcher endpointWatcher;
    private final Counters counters;

    /**
     * The running configuration. All of it but the event bus stays, so changes are reported against
     * it.
     */
    private final Config initialConfig;

    private final Map<String, String> environment;

    ConfigReloader(
            EventLoop loop,
            EndpointWatcher endpointWatcher,
            Counters counters,
            Config initialConfig,
            Map<String, String> environment) {
        this.loop = loop;
        this.endpointWatcher = endpointWatcher;
        this.counters = counters;
        this.initialConfig = initialConfig;
        this.environment = environment;
    }

    void installHandler() {
        Signals.handle("HUP", this::reload);
    }

    /**
     * Reads and checks the whole file on the signal's thread, so that the loop does not wait for
     * the disk, and hands it to the loop. An invalid file changes nothing; queries in flight are
     * unaffected either way.
     */
    private synchronized void reload() {
        try {
            Config newConfig = Config.read(environment);
            List<InitialEventsReader.Event> initialEvents =
                    endpointWatcher.readInitialEvents(newConfig.initialEvents());
            loop.execute(() -> apply(newConfig, initialEvents));
        } catch (ConfigException e) {
            Logger.error("configuration not reloaded; the file has a fault: {}", e.getMessage());
            loop.execute(() -> counters.increment(Count.CONFIG_REJECTED));
        }
    }

    private void apply(Config newConfig, List<InitialEventsReader.Event> initialEvents) {
        counters.increment(Count.CONFIG_RELOADED);
        newConfig
                .findRestartOnlyChanges(initialConfig)
                .forEach(
                        key ->
                                Logger.warn(
                                        "{} has changed; the change takes effect at the next start",
                                        key));
        endpointWatcher.reconfigure(newConfig.busAddress(), initialEvents);
        Logger.info("configuration reloaded; the event bus is at {}", newConfig.busAddress());
    }
}
