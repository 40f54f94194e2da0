package junipercourse.decision.selection;

import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EngineCapabilities;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/** Sizes memory grants, and learns their ratio to the estimate from costs and spills. */
public final class MemoryGrants {
    private static final double LEARNING_STEP = 0.1; // of the logarithm, for each answer
    private static final double TARGET_QUANTILE = 0.85; // of queries whose need a grant should meet

    private final EngineCapabilities capabilities;

    /** Creates the grants of one module. */
    public MemoryGrants(DecisionSettings settings) {
        this.capabilities = settings.engineCapabilities();
    }

    /**
     * Returns the grant of a request in MB: by its estimate or, without one, its fair share of an
     * engine, if spills or reported costs can correct it.
     */
    public double grantMb(PendingRequest request) {
        EngineState any = request.candidateEngines().get(0);
        double estimate = request.query().memoryEstimateMb();
        double base = estimate > 0 ? estimate : fairShareMb(request, any);
        double most =
                any.memoryMb() > 0
                        ? any.memoryMb() * capabilities.maxGrantShare()
                        : Double.MAX_VALUE;
        return Math.min(base * Math.exp(request.classStatistics().logGrantRatio()), most);
    }

    private double fairShareMb(PendingRequest request, EngineState engine) {
        boolean learns =
                capabilities.honorsMemoryGrants()
                        && (capabilities.progressPeriodSeconds() > 0 || capabilities.reportsCost());
        return learns
                ? engine.memoryMb()
                        * request.queryClass().threads()
                        / (DecisionDefaults.MAX_THREADS_PER_CORE * engine.cores())
                : 0;
    }

    /** Learns from a complete answer whether the grant was large enough. */
    public void recordAnswer(Attempt attempt, AttemptResult result) {
        boolean costReported = capabilities.reportsCost() && result.actualMemoryMb() > 0;
        if (attempt.memoryMb() > 0 && (costReported || capabilities.progressPeriodSeconds() > 0)) {
            boolean tooSmall =
                    costReported
                            ? result.actualMemoryMb() > attempt.memoryMb()
                            : attempt.hasSpilled();
            attempt.request()
                    .classStatistics()
                    .adjustGrantRatio(
                            LEARNING_STEP * (tooSmall ? TARGET_QUANTILE : TARGET_QUANTILE - 1));
        }
    }
}
