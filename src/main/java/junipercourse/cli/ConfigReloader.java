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
 * SIGHUP, which would end a JVM, takes on what may change of the configuration file as it is by
 * then.
 */
final class ConfigReloader {
    private final EventLoop loop;
    private final EndpointWatcher roster;
    private final Counters counters;

    /**
     * What runs. All but the event bus stays so, and what is told to differ is told against this.
     */
    private final Config atStart;

    private final Map<String, String> environment;

    ConfigReloader(
            EventLoop loop,
            EndpointWatcher roster,
            Counters counters,
            Config atStart,
            Map<String, String> environment) {
        this.loop = loop;
        this.roster = roster;
        this.counters = counters;
        this.atStart = atStart;
        this.environment = environment;
    }

    /** From now on the signal reloads. */
    void onHangUp() {
        Signals.on("HUP", this::read);
    }

    /**
     * Reads and checks the whole file on the signal's thread, so that nothing waits for the disk,
     * and hands it to the loop. A file that cannot be used changes nothing; queries in flight
     * notice nothing of either.
     */
    private synchronized void read() {
        try {
            Config next = Config.read(environment);
            List<InitialEventsReader.Event> known = roster.readInitialEvents(next.initialEvents());
            loop.execute(() -> apply(next, known));
        } catch (ConfigException e) {
            Logger.error(
                    "the configuration stays as it was; the new one has a fault: {}",
                    e.getMessage());
            loop.execute(() -> counters.increment(Count.CONFIG_REJECTED));
        }
    }

    private void apply(Config next, List<InitialEventsReader.Event> known) {
        counters.increment(Count.CONFIG_RELOADED);
        next.findRestartOnlyChanges(atStart)
                .forEach(
                        key ->
                                Logger.warn(
                                        "{} has changed; that takes effect at the next start",
                                        key));
        roster.reconfigure(next.busAddress(), known);
        Logger.info(
                "the configuration has been read again; the event bus is at {}", next.busAddress());
    }
}
