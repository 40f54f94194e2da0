package junipercourse.net;

import java.time.Instant;

/** The two clocks of a machine. Tests put others in their place. */
public interface Clock {
    /** Those of the system. */
    Clock SYSTEM =
            new Clock() {
                @Override
                public double monotonicSeconds() {
                    return System.nanoTime() / 1e9;
                }

                @Override
                public double unixSeconds() {
                    Instant t = Instant.now();
                    return t.getEpochSecond() + t.getNano() / 1e9;
                }
            };

    /** Seconds from some point; never steps, and stands still while the machine is suspended. */
    double monotonicSeconds();

    /** Unix time in seconds; may step either way. */
    double unixSeconds();
}
