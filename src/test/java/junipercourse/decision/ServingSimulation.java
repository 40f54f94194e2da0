package junipercourse.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.CapacityRating;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineCapabilities;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.LoadMetric;
import junipercourse.decision.api.LoadReportChannel;
import junipercourse.decision.api.OutOfMemoryPolicy;
import junipercourse.decision.api.PlatformLimits;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.decision.api.Tenant;

/**
 * One dispatcher under Poisson traffic of one class, with engines whose faults a test switches on
 * and off. Each attempt runs on one thread, beside others without slowing them.
 */
final class ServingSimulation {
    private static final double STEP_SECONDS = 0.025;
    static final double WORK_SECONDS = 0.3;
    private static final double DEADLINE_SECONDS = 7.5;
    private static final double CORES = 12;
    private static final int MAX_SESSIONS = 72;

    private record Answer(
            double time, long request, int attempt, long engine, AttemptOutcome outcome) {}

    final RecordingDispatcher dispatcher;
    private final double requestsPerSecond;
    private final Random random = new Random(50);
    private final PriorityQueue<Answer> answers =
            new PriorityQueue<>(Comparator.comparingDouble(Answer::time));
    private final int[] attemptsOfRequest = new int[1 << 16];
    private final int engineCount;
    private double nextArrivalAt;
    private int lastRequest;
    private int served;
    private boolean areEnginesFull;
    private double slowdown = 1;
    private float reportOffset;

    /** Creates a dispatcher that has no endpoint list yet. */
    ServingSimulation(int dispatchers, int engineCount, double requestsPerSecond) {
        this.engineCount = engineCount;
        this.requestsPerSecond = requestsPerSecond;
        dispatcher = new RecordingDispatcher(settings(dispatchers), 46);
        nextArrivalAt = dispatcher.now;
    }

    private static DecisionSettings settings(int dispatchers) {
        return new DecisionSettings(
                dispatchers,
                0,
                0,
                false,
                CapacityRating.OFF,
                1,
                LoadReportChannel.INLINE,
                List.of(LoadMetric.QUEUED, LoadMetric.BUSY),
                List.of(
                        RecordingDispatcher.queryClass(
                                Idempotency.IDEMPOTENT, 1.5, DEADLINE_SECONDS, 1)),
                List.of(new Tenant("tenant", 1, 100)),
                List.of(new EngineKind("k", CORES, 24576)),
                new PlatformLimits(true, false, false, false, true, 0.5, 6, 0.25),
                RecordingDispatcher.GUARANTEES,
                new EngineCapabilities(false, false, 0.4, OutOfMemoryPolicy.SHRINK_GRANT, 0, true));
    }

    /** Lists all engines as ready. */
    void listEngines() {
        dispatcher.listReadyEngines(engineCount);
    }

    /** Lists the first engines as draining and all others as ready. */
    void drainEngines(int count) {
        List<EngineListing> listings = new ArrayList<>();
        for (int id = 1; id <= engineCount; id++) {
            EngineStage stage = id <= count ? EngineStage.DRAINING : EngineStage.READY;
            listings.add(RecordingDispatcher.listing(id, stage, 0));
        }
        dispatcher.module.endpointsChanged(dispatcher.now, EndpointUpdateKind.FULL, listings);
        dispatcher.module.decide(dispatcher.now);
        runAttempts();
    }

    /** Sets whether other dispatchers' queries hold every session of all engines. */
    void setEnginesFull(boolean full) {
        areEnginesFull = full;
    }

    /** Sets by which factor all engines are slower than usual. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Adds an error to the busy cores that engines report. */
    void setReportOffset(float offset) {
        reportOffset = offset;
    }

    /** Serves traffic and returns the share of its requests that are served. */
    double serve(double seconds) {
        int requestsBefore = lastRequest;
        int servedBefore = served;
        for (double end = dispatcher.now + seconds; dispatcher.now < end; ) {
            while (nextArrivalAt <= dispatcher.now) {
                submit(WORK_SECONDS);
                nextArrivalAt += -Math.log(1 - random.nextDouble()) / requestsPerSecond;
            }
            step();
        }
        return (double) (served - servedBefore) / (lastRequest - requestsBefore);
    }

    /** Lets time pass without traffic. */
    void pause(double seconds) {
        for (double end = dispatcher.now + seconds; dispatcher.now < end; ) {
            step();
        }
        nextArrivalAt = dispatcher.now;
    }

    /** Submits one request whose client estimates its work in seconds. */
    void submit(double costEstimate) {
        lastRequest++;
        dispatcher.module.requestReceived(
                dispatcher.now,
                new QueryRequest(
                        new RequestId(lastRequest),
                        0,
                        0,
                        dispatcher.now + DEADLINE_SECONDS,
                        0,
                        0,
                        costEstimate,
                        0,
                        false));
        dispatcher.module.decide(dispatcher.now);
        runAttempts();
    }

    private void step() {
        dispatcher.advance(STEP_SECONDS);
        runAttempts();
        while (!answers.isEmpty() && answers.peek().time() <= dispatcher.now) {
            deliver(answers.poll());
            runAttempts();
        }
    }

    private void runAttempts() {
        for (String action : dispatcher.takeActions()) {
            String[] words = action.split(" ");
            if (words[0].equals("send")) {
                startAttempt(Integer.parseInt(words[1]), Long.parseLong(words[2]));
            } else if (words[0].equals("cancel")) {
                cancelAttempt(Integer.parseInt(words[1]), Integer.parseInt(words[2]));
            }
        }
    }

    private void startAttempt(int request, long engine) {
        int attempt = attemptsOfRequest[request]++;
        double latency = areEnginesFull ? STEP_SECONDS : WORK_SECONDS * slowdown;
        AttemptOutcome outcome = areEnginesFull ? AttemptOutcome.REJECTED : AttemptOutcome.OK;
        answers.add(new Answer(dispatcher.now + latency, request, attempt, engine, outcome));
    }

    private void cancelAttempt(int request, int attempt) {
        for (Answer answer : List.copyOf(answers)) {
            if (answer.request() == request && answer.attempt() == attempt) {
                answers.remove(answer);
                answers.add(
                        new Answer(
                                dispatcher.now + STEP_SECONDS,
                                request,
                                attempt,
                                answer.engine(),
                                AttemptOutcome.CANCELLED));
            }
        }
    }

    private void deliver(Answer answer) {
        boolean isServed = answer.outcome() == AttemptOutcome.OK;
        served += isServed ? 1 : 0;
        dispatcher.module.attemptEnded(
                dispatcher.now,
                new AttemptResult(
                        new RequestId(answer.request()),
                        answer.attempt(),
                        new EngineId(answer.engine()),
                        answer.outcome(),
                        0,
                        isServed,
                        isServed ? WORK_SECONDS : 0,
                        0,
                        loadReport(answer.engine())));
        dispatcher.module.decide(dispatcher.now);
    }

    private float[] loadReport(long engine) {
        long running = answers.stream().filter(answer -> answer.engine() == engine).count();
        double busy = (areEnginesFull ? MAX_SESSIONS : running) / CORES;
        return new float[] {0, (float) Math.min(1, busy) + reportOffset};
    }
}
