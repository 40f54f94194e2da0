package junipercourse.scale;

import java.io.IOException;

/** The run's own bounds: past one of them it ends by itself, with all that it started. */
final class RunLimits {
    private final double memoryMb;
    private final double wallS;
    private final double begun = Network.now();
    private volatile String passed;

    /** The run is to end before its time. */
    static final class RunAbortedException extends RuntimeException {
        private static final long serialVersionUID = 1;

        RunAbortedException(String why) {
            super(why);
        }
    }

    RunLimits(double memoryMb, double wallS) {
        this.memoryMb = memoryMb;
        this.wallS = wallS;
    }

    /** Looks at memory and time; to be called each second. */
    void look(ScaleFleet fleet) throws IOException {
        double used = HostMetrics.residentMb();
        for (RealMember each : fleet.real) {
            used += each.residentMb();
        }
        if (used > memoryMb) {
            passed = "%.0f MB are used, %.0f allowed".formatted(used, memoryMb);
        } else if (Network.now() - begun > wallS) {
            passed = "the run took longer than %.0f s".formatted(wallS);
        }
    }

    /** Ends the run, for a reason of its own. */
    void stop(String why) {
        passed = why;
    }

    /** Fails if a bound was passed. */
    void check() {
        if (passed != null) {
            throw new RunAbortedException(passed);
        }
    }
}
