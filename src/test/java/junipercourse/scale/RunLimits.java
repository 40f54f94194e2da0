package junipercourse.scale;

import java.io.IOException;

/**
 * Memory and time limits of a scale run. When one is exceeded, the run aborts and ends every
 * process that it started.
 */
final class RunLimits {
    private final double maxMemoryMb;
    private final double wallSeconds;
    private final double startSeconds = Network.nowSeconds();
    private volatile String abortReason;

    /** Thrown when the run is aborted early. */
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

    /** Checks memory use and elapsed time; called every second. */
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

    /** Aborts the run for a reason other than its limits. */
    void abort(String reason) {
        abortReason = reason;
    }

    /** Throws if a limit was exceeded or the run was aborted. */
    void throwIfAborted() {
        if (abortReason != null) {
            throw new RunAbortedException(abortReason);
        }
    }
}
