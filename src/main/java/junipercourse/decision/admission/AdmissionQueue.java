package junipercourse.decision.admission;

import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.load.LoadTracking;
import junipercourse.decision.selection.EngineSelection;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/** Holds requests until an engine has capacity for them, and starts them by priority. */
public final class AdmissionQueue {
    private static final int MAX_UNPLACED_REQUESTS = 12; // ready requests per pass

    private final DispatchState state;
    private final SendConstraints constraints;
    private final LoadTracking loadTracking;
    private final EngineSelection engineSelection;
    private final RequestCompletion requestCompletion;
    private final RequestPriority requestPriority;

    AdmissionQueue(
            DispatchState state,
            SendConstraints constraints,
            LoadTracking loadTracking,
            EngineSelection engineSelection,
            RequestCompletion requestCompletion,
            RequestPriority requestPriority) {
        this.state = state;
        this.constraints = constraints;
        this.loadTracking = loadTracking;
        this.engineSelection = engineSelection;
        this.requestCompletion = requestCompletion;
        this.requestPriority = requestPriority;
    }

    /** Adds a request to the queue and schedules its next evaluation. */
    public void enqueue(double now, PendingRequest request) {
        request.setPriority(requestPriority.computePriority(now, request));
        engineSelection.sampler().sample(request);
        loadTracking.prober().probeCandidates(now, request);
        state.requests().enqueue(request);
        double nextEvaluationAt =
                Math.min(request.answerDueAt(), now + DecisionDefaults.RETRY_INTERVAL_SECONDS);
        state.requests().evaluations().schedule(nextEvaluationAt, request);
    }

    /**
     * Recomputes the priority and the candidates of a waiting request, and requests an admission
     * pass.
     */
    void refresh(double now, PendingRequest request) {
        request.setPriority(requestPriority.computePriority(now, request));
        engineSelection.sampler().sample(request);
        state.requests().scheduleAdmission();
    }

    /**
     * Starts the waiting requests for which an engine has capacity, and sheds those beyond the
     * queue limit.
     */
    public void admit(double now) {
        loadTracking.capacity().recompute(now, state.engines(), constraints.slowStart());
        if (state.requests().waiting().isEmpty()) {
            return;
        }
        state.requests().sortWaiting();
        AdmissionPass pass = new AdmissionPass(now);
        state.requests().removeIfStarted(pass::tryStart);
        PendingRequest requestToShed = state.requests().nextToShed();
        while (requestToShed != null) {
            requestCompletion.completeWithoutResult(requestToShed);
            requestToShed = state.requests().nextToShed();
        }
    }

    /**
     * One pass over the waiting requests. It stops starting requests after {@link
     * #MAX_UNPLACED_REQUESTS} of them found no engine.
     */
    private final class AdmissionPass {
        private final double now;
        private int unplacedRequests;

        private AdmissionPass(double now) {
            this.now = now;
        }

        /**
         * Starts a request if an engine has capacity for it. A request that waits for an earlier
         * one with the same key, or for load reports, is not counted as unplaced: it says nothing
         * about the engines' capacity and must not end the pass for the requests behind it.
         */
        private boolean tryStart(PendingRequest request) {
            boolean isReady =
                    constraints.orderingAllows(now, request)
                            && !loadTracking.prober().isAwaitingReports(now, request);
            if (!isReady || unplacedRequests >= MAX_UNPLACED_REQUESTS) {
                unplacedRequests += isReady ? 1 : 0;
                return false;
            }
            EngineState engine = engineSelection.selector().select(now, request);
            if (engine == null) {
                unplacedRequests++;
                return false;
            }
            engineSelection.launcher().launch(now, request, engine);
            return true;
        }
    }
}
