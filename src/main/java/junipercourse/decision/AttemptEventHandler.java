package junipercourse.decision;

import junipercourse.decision.admission.RequestLifecycle;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.ProgressKind;
import junipercourse.decision.api.RequestId;
import junipercourse.decision.load.LoadEstimator;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.PendingRequest;

/** Handles the events of attempts in flight. */
final class AttemptEventHandler {
    private final DispatchState state;
    private final LoadEstimator loadEstimator;
    private final RequestLifecycle lifecycle;

    AttemptEventHandler(
            DispatchState state, LoadEstimator loadEstimator, RequestLifecycle lifecycle) {
        this.state = state;
        this.loadEstimator = loadEstimator;
        this.lifecycle = lifecycle;
    }

    /** Marks the request as responding: it can no longer be retried or restarted. */
    void handleResponseStarted(double now, RequestId id, int attemptNumber) {
        Attempt active = state.requests().findActiveAttempt(id, attemptNumber);
        if (active != null) {
            active.engine().health().recordActivity(now);
            active.request().startResponse();
        }
    }

    /**
     * Updates the projected latency of an attempt from its progress, and schedules an evaluation if
     * that exceeds the cutoff.
     */
    void handleProgress(
            double now, RequestId id, int attemptNumber, ProgressKind kind, double value) {
        Attempt active = state.requests().findActiveAttempt(id, attemptNumber);
        if (active == null) {
            return;
        }
        active.engine().health().recordActivity(now);
        if (kind == ProgressKind.SPILL) {
            active.markSpilled();
        }
        if (kind == ProgressKind.PROGRESS && value > 0) {
            active.setProjectedLatency((now - active.sentAt()) / value);
            if (lifecycle.cutoffs().exceedsCutoff(now, active)) {
                state.requests().evaluations().schedule(now, active.request());
            }
        }
    }

    /**
     * Updates statistics and load from the result of an attempt, and retries or completes its
     * request.
     */
    void handleEnded(double now, AttemptResult result) {
        PendingRequest request = state.requests().find(result.id());
        Attempt attempt =
                request == null ? null : request.removeOutstandingAttempt(result.attemptNumber());
        if (attempt == null) {
            return;
        }
        state.requests().scheduleAdmission();
        AttemptOutcome outcome = result.outcome();
        lifecycle.feedback().recordResult(now, attempt, result);
        attempt.end(outcome);
        if (outcome != AttemptOutcome.REJECTED) { // the cores of an engine at its limit may be idle
            boolean slowed = lifecycle.feedback().wasSlowedByCongestion(now, attempt);
            loadEstimator.recordReport(now, attempt.engine(), result.loadReport(), slowed);
        }
        if (result.requestCompleted()) {
            state.requests().close(request);
        } else if (!request.isClosed() && request.activeAttempt() == null) {
            lifecycle.supervisor().retryOrComplete(now, attempt, outcome);
        }
        blockKeyIfPossiblyRunning(now, request, outcome);
        state.requests().removeIfDone(request);
    }

    /**
     * Blocks the key of a request if its attempt may still run on the engine after this outcome.
     */
    private void blockKeyIfPossiblyRunning(
            double now, PendingRequest request, AttemptOutcome outcome) {
        if (outcome != AttemptOutcome.OK && !outcome.neverRan()) {
            double blockedUntil =
                    now
                            + state.settings().guarantees().keySettleSeconds()
                            + DecisionDefaults.RETRY_INTERVAL_SECONDS;
            state.requests().keyedQueues().blockKey(request, blockedUntil);
        }
    }
}
