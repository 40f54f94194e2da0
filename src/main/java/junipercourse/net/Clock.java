package junipercourse.net;

import java.time.Instant;

/** The two clocks of a machine. Tests replace them. */
public interface Clock {
    /** The clocks of the system. */
    Clock SYSTEM =
            new Clock() {
                @Override
                public double monotonicSeconds() {
                    return System.nanoTime() / 1e9;
                }

                @Override
                public double unixSeconds() {
                    Instant now = Instant.now();
                    return now.getEpochSecond() + now.getNano() / 1e9;
                }
            };

    /**
     * Seconds since an arbitrary origin; never steps, and stands still while the machine is
     * suspended.
     */
    double monotonicSeconds();

    /** Unix time in seconds; may step in either direction. */
    double unixSeconds();
}
