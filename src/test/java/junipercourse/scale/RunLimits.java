package junipercourse.scale;

import java.io.IOException;

/** The run's own bounds: past one of them it ends by itself, with all that it started. */
final class RunLimits {
    private final double maxMemoryMb;
    private final double wallSeconds;
    private final double startSeconds = Network.nowSeconds();
    private volatile String abortReason;

    /** The run is to end before its time. */
    static final class RunAbortedException extends RuntimeException {
        private static final long serialVersionUID = 1;

        RunAbortedException(String reason) {
            super(reason);
        }
    }

    RunLimits(double maxMemoryMb, double wallSeconds) {
        this.maxMemoryMb = maxMemoryMb;
        this.wallSeconds = wallSeconds;
    }

    /** Looks at memory and time; to be called each second. */
    void checkUsage(ScaleFleet fleet) throws IOException {
        double usedMb = HostMetrics.residentMb();
        for (RealMember member : fleet.realMembers) {
            usedMb += member.residentMb();
        }
        if (usedMb > maxMemoryMb) {
            abortReason = "%.0f MB are used, %.0f allowed".formatted(usedMb, maxMemoryMb);
        } else if (Network.nowSeconds() - startSeconds > wallSeconds) {
            abortReason = "the run took longer than %.0f s".formatted(wallSeconds);
        }
    }

    /** Ends the run, for a reason of its own. */
    void abort(String reason) {
        abortReason = reason;
    }

    /** Fails if a bound was passed. */
    void throwIfAborted() {
        if (abortReason != null) {
            throw new RunAbortedException(abortReason);
        }
    }
}
