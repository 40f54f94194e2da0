package junipercourse.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.ToDoubleFunction;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.LoadMetric;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;

/**
 * One of several simulated dispatchers with its open attempts, ordered by the time at which their
 * engine answers.
 */
final class SimulatedDispatcher {
    final RecordingDispatcher dispatcher;
    final List<Long> engineIds = new ArrayList<>();
    final List<Double> sendTimes = new ArrayList<>();
    final Queue<Map.Entry<Double, String>> openAttemptsByAnswerTime =
            new PriorityQueue<>(Map.Entry.comparingByKey());
    private long lastId;
    long cancelCount;

    SimulatedDispatcher(int ordinal, LoadMetric loadMetric, int engineCount) {
        DecisionSettings base =
                RecordingDispatcher.fleetSettings(
                        OverloadedFleetTest.DISPATCHERS,
                        RecordingDispatcher.queryClass(Idempotency.IDEMPOTENT, 1.2, 6, 1));
        dispatcher =
                new RecordingDispatcher(
                        new DecisionSettings(
                                OverloadedFleetTest.DISPATCHERS,
                                ordinal,
                                0,
                                false,
                                base.capacityRating(),
                                1,
                                base.loadReportChannel(),
                                List.of(loadMetric),
                                base.queryClasses(),
                                base.tenants(),
                                base.engineKinds(),
                                base.limits(),
                                base.guarantees(),
                                base.engineCapabilities()),
                        ordinal + 1);
        dispatcher.listReadyEngines(engineCount);
    }

    /**
     * Offers requests at the same time and returns the ids of the engines that attempts were sent
     * to.
     */
    List<Long> offer(int count, ToDoubleFunction<Long> latencySeconds) {
        int countBefore = engineIds.size();
        for (int i = 0; i < count; i++) {
            dispatcher.module.requestReceived(
                    dispatcher.now,
                    new QueryRequest(
                            new RequestId(++lastId),
                            0,
                            0,
                            dispatcher.now + 6,
                            0,
                            0,
                            OverloadedFleetTest.WORK_SECONDS,
                            0,
                            false));
            dispatcher.module.decide(dispatcher.now);
            recordActions(latencySeconds);
        }
        return engineIds.subList(countBefore, engineIds.size());
    }

    private void recordActions(ToDoubleFunction<Long> latencySeconds) {
        List<String> actions = dispatcher.takeActions();
        cancelCount += actions.stream().filter(action -> action.startsWith("cancel")).count();
        actions.stream()
                .filter(action -> action.startsWith("send"))
                .forEach(
                        action -> {
                            long engineId = Long.parseLong(action.split(" ")[2]);
                            engineIds.add(engineId);
                            sendTimes.add(dispatcher.now);
                            openAttemptsByAnswerTime.add(
                                    Map.entry(
                                            dispatcher.now + latencySeconds.applyAsDouble(engineId),
                                            action));
                        });
    }

    void advance(
            double seconds,
            ToDoubleFunction<Long> latencySeconds,
            ToDoubleFunction<Long> reportedLoad) {
        for (double endTime = dispatcher.now + seconds; dispatcher.now < endTime; ) {
            dispatcher.advance(0.025);
            recordActions(latencySeconds);
            while (!openAttemptsByAnswerTime.isEmpty()
                    && openAttemptsByAnswerTime.peek().getKey() <= dispatcher.now) {
                String[] send = openAttemptsByAnswerTime.poll().getValue().split(" ");
                long engineId = Long.parseLong(send[2]);
                dispatcher.module.attemptEnded(
                        dispatcher.now,
                        new AttemptResult(
                                new RequestId(Long.parseLong(send[1])),
                                0,
                                new EngineId(engineId),
                                AttemptOutcome.OK,
                                0,
                                true,
                                0,
                                0,
                                new float[] {(float) reportedLoad.applyAsDouble(engineId)}));
                dispatcher.module.decide(dispatcher.now);
                recordActions(latencySeconds);
            }
        }
    }

    /** Serves a steady load of one request every 0.25 s. */
    void serve(
            double seconds,
            ToDoubleFunction<Long> latencySeconds,
            ToDoubleFunction<Long> reportedLoad) {
        for (double endTime = dispatcher.now + seconds; dispatcher.now < endTime; ) {
            offer(1, latencySeconds);
            advance(0.25, latencySeconds, reportedLoad);
        }
    }

    void updateEngine(long engineId, EngineStage stage, double startedAt) {
        dispatcher.module.endpointsChanged(
                dispatcher.now,
                EndpointUpdateKind.DELTA,
                List.of(new EngineListing(new EngineId(engineId), 0, 0, 0, stage, 1, startedAt)));
        dispatcher.module.decide(dispatcher.now);
    }
}
