package junipercourse.cli;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import junipercourse.config.Config;
import junipercourse.core.Counters;
import junipercourse.core.Gateway;
import junipercourse.decision.DispatchApi.Kind;
import junipercourse.engine.EngineClient;
import junipercourse.net.Loop;
import junipercourse.pg.PgFront;
import junipercourse.roster.RosterClient;
import org.tinylog.Logger;

/** One dispatcher, put together from its parts, from its start to its end. */
final class Server {
    /** New connections keep coming for 0.4 s after a planned restart begins, and their queries after that. */
    private static final double STILL_COMING_S = 0.75;

    private final Config config;
    private final Loop loop;
    private final Counters counters = new Counters();
    private final Gateway gateway;
    private final PgFront front;

    Server(Config config) throws IOException {
        this.config = config;
        loop = new Loop();
        EngineClient engines = new EngineClient(loop, config.settings(), config.idleSeconds(), counters);
        gateway = new Gateway(loop, config.settings(), config.seed(), engines, counters);
        front = new PgFront(loop, config.settings(), gateway, config.resources().sockets() / 3 + 8,
                config.seed(), counters);
    }

    void start() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::finish, "finish"));
        loop.execute(() -> {
            try {
                RosterClient roster = config.bus() == null ? null
                        : new RosterClient(loop, config.bus(), gateway::roster, counters);
                if (roster != null) {
                    if (config.known() != null) {
                        roster.known(config.known(), config.zones(),
                                config.settings().kinds().stream().map(Kind::name).toList());
                    }
                    roster.follow();
                }
                front.listen(config.listen());
                Logger.info("{} listens on {}", config.name(), config.listen());
            } catch (IOException | RuntimeException e) {
                Logger.error(e, "cannot start");
                Runtime.getRuntime().halt(1);
            }
        });
    }

    /** After SIGTERM: goes on for as long as clients may still come, then until all are answered. */
    private void finish() {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            Logger.info("asked to end; {} queries are open", gateway.open());
            loop.after(STILL_COMING_S, () -> {
                front.stopListening();
                gateway.whenIdle(done::countDown);
            });
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Logger.info("{} ends: {}", config.name(), counters);
    }
}
