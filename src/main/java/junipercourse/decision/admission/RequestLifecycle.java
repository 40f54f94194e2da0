package junipercourse.decision.admission;

import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.health.OutlierDetector;
import junipercourse.decision.load.LoadTracking;
import junipercourse.decision.selection.EngineSelection;
import junipercourse.decision.state.DispatchState;

/**
 * The components that handle a request from its arrival to its final answer.
 *
 * @param queue holds requests that wait for an engine
 * @param completion gives final answers
 * @param cutoffs decides when first attempts are cancelled
 * @param feedback updates estimates from attempt results
 * @param supervisor evaluates requests and supervises their attempts
 */
public record RequestLifecycle(
        AdmissionQueue queue,
        RequestCompletion completion,
        CutoffController cutoffs,
        AttemptFeedback feedback,
        AttemptSupervisor supervisor) {

    /** Creates the components of one decision module. */
    public static RequestLifecycle create(
            DispatchState state,
            Estimators estimators,
            SendConstraints constraints,
            LoadTracking load,
            OutlierDetector outliers) {
        EngineSelection selection = EngineSelection.create(state, estimators, constraints, load);
        RequestCompletion completion = new RequestCompletion(state, estimators.latency());
        CutoffController cutoffs =
                new CutoffController(state, estimators, load.estimator(), load.gossip());
        AttemptFeedback feedback =
                new AttemptFeedback(
                        estimators,
                        constraints.slowStart(),
                        load.estimator(),
                        outliers,
                        selection.grants(),
                        cutoffs);
        AdmissionQueue queue =
                new AdmissionQueue(
                        state,
                        constraints,
                        load,
                        selection,
                        completion,
                        new RequestPriority(state, estimators.latency()));
        AttemptSupervisor supervisor =
                new AttemptSupervisor(
                        state,
                        estimators.latency(),
                        constraints,
                        selection,
                        outliers,
                        new AttemptSupervisor.Collaborators(queue, completion, cutoffs, feedback));
        return new RequestLifecycle(queue, completion, cutoffs, feedback, supervisor);
    }
}
