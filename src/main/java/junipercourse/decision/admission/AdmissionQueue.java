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
    private static final int MAX_MISSES = 12; // ready requests without an engine that end a pass

    private final DispatchState state;
    private final SendConstraints constraints;
    private final LoadTracking load;
    private final EngineSelection selection;
    private final RequestCompletion completion;
    private final RequestPriority priorities;

    AdmissionQueue(
            DispatchState state,
            SendConstraints constraints,
            LoadTracking load,
            EngineSelection selection,
            RequestCompletion completion,
            RequestPriority priorities) {
        this.state = state;
        this.constraints = constraints;
        this.load = load;
        this.selection = selection;
        this.completion = completion;
        this.priorities = priorities;
    }

    /** Makes a request wait for an engine. */
    public void enqueue(double now, PendingRequest request) {
        request.setPriority(priorities.priority(now, request));
        selection.sampler().sample(request);
        load.prober().probeCandidates(now, request);
        state.requests().enqueue(request);
        double evaluationAt =
                Math.min(request.answerDueAt(), now + DecisionDefaults.RETRY_INTERVAL_SECONDS);
        state.requests().evaluations().schedule(evaluationAt, request);
    }

    /** Updates priority and candidates of a waiting request, for the next pass. */
    void refresh(double now, PendingRequest request) {
        request.setPriority(priorities.priority(now, request));
        selection.sampler().sample(request);
        state.requests().scheduleAdmission();
    }

    /** Starts the waiting requests for which there is capacity, and sheds those over the bound. */
    public void admit(double now) {
        load.capacity().recompute(now, state.engines(), constraints.slowStart());
        if (state.requests().waiting().isEmpty()) {
            return;
        }
        state.requests().sortWaiting();
        Pass pass = new Pass(now);
        state.requests().removeIfStarted(pass::tryStart);
        PendingRequest shed = state.requests().nextToShed();
        while (shed != null) {
            completion.complete(shed);
            shed = state.requests().nextToShed();
        }
    }

    /** One pass over the waiting requests, which ends after so many that found no engine. */
    private final class Pass {
        private final double now;
        private int misses;

        private Pass(double now) {
            this.now = now;
        }

        /**
         * Starts a request if an engine has capacity for it. A request that waits for its key says
         * nothing about the engines' capacity and must not end the pass for those behind it.
         */
        private boolean tryStart(PendingRequest request) {
            boolean ready =
                    constraints.orderingAllows(now, request)
                            && !load.prober().isAwaitingReports(now, request);
            if (!ready || misses >= MAX_MISSES) {
                misses += ready ? 1 : 0;
                return false;
            }
            EngineState engine = selection.selector().select(now, request);
            if (engine == null) {
                misses++;
                return false;
            }
            selection.launcher().launch(now, request, engine);
            return true;
        }
    }
}
