package junipercourse.decision.selection;

import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EngineCapabilities;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/**
 * Computes memory grants. The ratio of grant to estimate is learned for each class from reported
 * memory use and spills.
 */
public final class MemoryGrants {
    private static final double LEARNING_STEP = 0.1; // of the logarithmic ratio, per answer
    private static final double TARGET_QUANTILE = 0.85; // of queries with a sufficient grant

    private final EngineCapabilities capabilities;

    /** Creates the grants of one decision module. */
    public MemoryGrants(DecisionSettings settings) {
        this.capabilities = settings.engineCapabilities();
    }

    /**
     * Returns the grant of a request in MB. It is based on the request's estimate or, without one,
     * on its fair share of an engine if spills or reported costs allow a correction.
     */
    public double grantMb(PendingRequest request) {
        EngineState firstCandidate = request.candidateEngines().get(0);
        double estimateMb = request.query().memoryEstimateMb();
        double baseGrantMb = estimateMb > 0 ? estimateMb : fairShareMb(request, firstCandidate);
        double maxGrantMb =
                firstCandidate.memoryMb() > 0
                        ? firstCandidate.memoryMb() * capabilities.maxGrantShare()
                        : Double.MAX_VALUE;
        return Math.min(
                baseGrantMb * Math.exp(request.classStatistics().logGrantRatio()), maxGrantMb);
    }

    private double fairShareMb(PendingRequest request, EngineState engine) {
        boolean canLearn =
                capabilities.honorsMemoryGrants()
                        && (capabilities.progressPeriodSeconds() > 0 || capabilities.reportsCost());
        return canLearn
                ? engine.memoryMb()
                        * request.queryClass().threads()
                        / (DecisionDefaults.MAX_THREADS_PER_CORE * engine.cores())
                : 0;
    }

    /**
     * Adjusts the grant ratio of a class by whether the grant of an answered attempt was large
     * enough.
     */
    public void recordAnswer(Attempt attempt, AttemptResult result) {
        boolean isCostReported = capabilities.reportsCost() && result.actualMemoryMb() > 0;
        if (attempt.memoryMb() > 0
                && (isCostReported || capabilities.progressPeriodSeconds() > 0)) {
            boolean wasTooSmall =
                    isCostReported
                            ? result.actualMemoryMb() > attempt.memoryMb()
                            : attempt.hasSpilled();
            attempt.request()
                    .classStatistics()
                    .adjustGrantRatio(
                            LEARNING_STEP * (wasTooSmall ? TARGET_QUANTILE : TARGET_QUANTILE - 1));
        }
    }
}
