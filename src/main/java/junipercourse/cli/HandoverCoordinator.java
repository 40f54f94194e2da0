package junipercourse.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.file.Path;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import junipercourse.admin.SiblingProcesses;
import junipercourse.config.Config;
import junipercourse.core.Gateway;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;
import junipercourse.pg.PgServer;
import org.tinylog.Logger;

/**
 * While two processes of one dispatcher run beside each other, they count as one (DAYS, replacing
 * the process): the descriptors that are left are shared out between them, and so are the places
 * for queries in hand, since clients hold at most a third of all descriptors with both. Only where
 * a socket is handed down.
 */
final class HandoverCoordinator implements Closeable {
    /**
     * Of all descriptors: queries in hand of a process that is alone, half of what clients may
     * open. It may be replaced at any time; what it has started then stays connected beside its
     * successor's.
     */
    static final double ALONE_PART = 0.5 / 3;

    /**
     * Between looks; a new process says that it is ready some tenths of a second after its start.
     */
    private static final long LOOK_MS = 100;

    private final EventLoop loop;
    private final DescriptorBudget descriptors;
    private final Gateway gateway;
    private final PgServer front;
    private final int mostAlone;
    private final int mostBeside;
    private final SiblingProcesses neighbours;
    private final ScheduledThreadPoolExecutor looks;

    /** What this process keeps itself to, which is told to the others at its next look. */
    private volatile int held;

    private boolean beside;

    /**
     * Looks once before it returns, so that a process knows from its first moment that it is not
     * alone.
     *
     * @param mostTaken queries in hand of all processes together
     * @throws IOException if the folder cannot be used
     */
    HandoverCoordinator(
            EventLoop loop,
            DescriptorBudget descriptors,
            Gateway gateway,
            PgServer front,
            int mostTaken,
            Path folder)
            throws IOException {
        this.loop = loop;
        this.descriptors = descriptors;
        this.gateway = gateway;
        this.front = front;
        this.mostAlone = (int) (descriptors.limit() * ALONE_PART);
        this.mostBeside = mostTaken - mostAlone;
        held = descriptors.used();
        descriptors.applyClaim(held, true); // until a claim is made, it has none
        neighbours = new SiblingProcesses(folder);
        look();
        looks =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread t = new Thread(task, "overlap");
                            t.setDaemon(true);
                            return t;
                        });
        looks.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * For what outlives a process. Where dispatchers share {@code $TMPDIR}, a name and the address
     * at which its clients connect tell them apart, also those that were given no name. No two come
     * to one folder: what a path cannot hold is written as URLs write it, and an address has no
     * hyphen.
     */
    static Path folder(Config config, String what) {
        String tmp = System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"));
        InetSocketAddress listen = config.listenAddress();
        return Path.of(
                tmp,
                "junipercourse-"
                        + what
                        + "-"
                        + URLEncoder.encode(config.name(), UTF_8)
                        + "-"
                        + URLEncoder.encode(listen.getAddress().getHostAddress(), UTF_8)
                        + "-"
                        + listen.getPort());
    }

    private void look() {
        try {
            int[] claim = new int[1];
            int found =
                    neighbours.claim(
                            others -> {
                                claim[0] =
                                        DescriptorBudget.claim(held, others, descriptors.limit());
                                return claim[0];
                            });
            loop.execute(() -> take(claim[0], found >= 0));
        } catch (IOException | RuntimeException e) { // the bounds stay as they are
            Logger.error(
                    "whether another process runs beside this one is not known: {}", e.toString());
        }
    }

    private void take(int claim, boolean another) {
        if (another != beside) {
            beside = another;
            Logger.info(another ? "another process runs beside this one" : "this process is alone");
            front.setSiblingRunning(another);
            gateway.limitOpenQueries(another ? mostBeside : mostAlone);
        }
        descriptors.applyClaim(claim, another);
        held = descriptors.allowed();
    }

    @Override
    public void close() {
        looks.shutdownNow();
        neighbours.close();
    }
}
