package junipercourse.fleet.view;

import java.util.List;

/** Placeholder body; filled in below. */
public final class View {
    public View(Settings settings, String name, String address, String zone, List<String> seeds, long seed,
            Out out) {
        throw new UnsupportedOperationException();
    }

    public void start(double now) {
        throw new UnsupportedOperationException();
    }

    public void heard(double now, String fromAddress, Word word) {
        throw new UnsupportedOperationException();
    }

    public void tick(double now) {
        throw new UnsupportedOperationException();
    }

    public double next() {
        throw new UnsupportedOperationException();
    }

    public void stalled(double now, double seconds) {
        throw new UnsupportedOperationException();
    }

    public void leave(double now) {
        throw new UnsupportedOperationException();
    }

    public Snapshot snapshot() {
        throw new UnsupportedOperationException();
    }
}
