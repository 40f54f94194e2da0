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
    private static final int MAX_UNPLACED_REQUESTS =
            12; // ready requests without an engine that end a pass

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

    /** Makes a request wait for an engine. */
    public void enqueue(double now, PendingRequest request) {
        request.setPriority(requestPriority.computePriority(now, request));
        engineSelection.sampler().sample(request);
        loadTracking.prober().probeCandidates(now, request);
        state.requests().enqueue(request);
        double evaluationAt =
                Math.min(request.answerDueAt(), now + DecisionDefaults.RETRY_INTERVAL_SECONDS);
        state.requests().evaluations().schedule(evaluationAt, request);
    }

    /** Updates priority and candidates of a waiting request, for the next pass. */
    void refresh(double now, PendingRequest request) {
        request.setPriority(requestPriority.computePriority(now, request));
        engineSelection.sampler().sample(request);
        state.requests().scheduleAdmission();
    }

    /** Starts the waiting requests for which there is capacity, and sheds those over the bound. */
    public void admit(double now) {
        loadTracking.capacity().recompute(now, state.engines(), constraints.slowStart());
        if (state.requests().waiting().isEmpty()) {
            return;
        }
        state.requests().sortWaiting();
        Pass pass = new Pass(now);
        state.requests().removeIfStarted(pass::tryStart);
        PendingRequest requestToShed = state.requests().nextToShed();
        while (requestToShed != null) {
            requestCompletion.completeWithoutResult(requestToShed);
            requestToShed = state.requests().nextToShed();
        }
    }

    /** One pass over the waiting requests, which ends after so many that found no engine. */
    private final class Pass {
        private final double now;
        private int unplacedRequests;

        private Pass(double now) {
            this.now = now;
        }

        /**
         * Starts a request if an engine has capacity for it. A request that waits for its key says
         * nothing about the engines' capacity and must not end the pass for those behind it.
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
