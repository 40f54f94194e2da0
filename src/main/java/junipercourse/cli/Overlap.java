package junipercourse.cli;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import junipercourse.config.Config;
import junipercourse.core.Gateway;
import junipercourse.net.Descriptors;
import junipercourse.net.Loop;
import junipercourse.ops.Neighbours;
import org.tinylog.Logger;

/**
 * While two processes of one dispatcher run beside each other, they count as one (DAYS, replacing the
 * process): the descriptors that are left are shared out between them, and so are the places for queries in
 * hand, since clients hold at most a third of all descriptors with both. Only where a socket is handed down.
 */
final class Overlap implements Closeable {
    /**
     * Of all descriptors: queries in hand of a process that is alone, half of what clients may open.
     * It may be replaced at any time; what it has started then stays connected beside its successor's.
     */
    static final double ALONE_PART = 0.5 / 3;
    /** Between looks; a new process says that it is ready some tenths of a second after its start. */
    private static final long LOOK_MS = 100;

    private final Loop loop;
    private final Descriptors descriptors;
    private final Gateway gateway;
    private final int alone;
    private final int beside;
    private final Neighbours neighbours;
    private final ScheduledThreadPoolExecutor looks;
    private volatile int used;
    private int others = -1;

    /**
     * Looks once before it returns, so that a process knows from its first moment that it is not alone.
     *
     * @param mostTaken queries in hand of all processes together
     * @throws IOException if the folder cannot be used
     */
    Overlap(Loop loop, Descriptors descriptors, Gateway gateway, int mostTaken, Path folder)
            throws IOException {
        this.loop = loop;
        this.descriptors = descriptors;
        this.gateway = gateway;
        this.alone = (int) (descriptors.limit() * ALONE_PART);
        this.beside = mostTaken - alone;
        used = descriptors.used();
        neighbours = new Neighbours(folder);
        look();
        looks = new ScheduledThreadPoolExecutor(1, task -> {
            Thread t = new Thread(task, "overlap");
            t.setDaemon(true);
            return t;
        });
        looks.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** For what outlives a process. Where dispatchers share {@code $TMPDIR}, names tell them apart. */
    static Path folder(Config config, String what) {
        String tmp = System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"));
        return Path.of(tmp, "junipercourse-" + what + "-" + config.name().replaceAll("[^A-Za-z0-9_.-]", "_"));
    }

    private void look() {
        try {
            int found = neighbours.look(used);
            loop.execute(() -> take(found));
        } catch (IOException | RuntimeException e) { // the bounds stay as they are
            Logger.error("whether another process runs beside this one is not known: {}", e.toString());
        }
    }

    private void take(int found) {
        if (found < 0 != others < 0) {
            Logger.info(found < 0 ? "this process is alone" : "another process runs beside this one");
            gateway.takeAtMost(found < 0 ? alone : beside);
        }
        others = found;
        descriptors.beside(found);
        used = descriptors.used();
    }

    @Override
    public void close() {
        looks.shutdownNow();
        neighbours.close();
    }
}
