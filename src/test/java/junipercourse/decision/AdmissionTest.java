package junipercourse.decision;

import static junipercourse.decision.DispatcherScenarios.IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.trainCutoff;
import static junipercourse.decision.DispatcherScenarios.withFourEngines;
import static junipercourse.decision.RecordingDispatcher.GUARANTEES;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Which requests are admitted, in which order, and which are rejected. */
class AdmissionTest {
    /** A class with few requests is not starved by a class of higher weight with many. */
    @Test
    void prefersALowWeightClassOfWhichLittleWasStarted() {
        QueryClass lowWeight =
                new QueryClassBuilder("p", Idempotency.IDEMPOTENT).priorityWeight(0.5).build();
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(GUARANTEES, false, IDEMPOTENT, lowWeight));
        dispatcher.listReadyEngines(1);
        trainCutoff(dispatcher, 0);
        for (int i = 0; i < 16; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
        }
        dispatcher.takeActions();
        for (int i = 0; i < 5; i++) {
            dispatcher.receiveRequest(100 + i, 0, dispatcher.now + 10, 0);
            dispatcher.receiveRequest(200 + i, 1, dispatcher.now + 10, 0);
        }
        assertEquals(List.of(), dispatcher.takeActions());
        dispatcher.advance(0.2);
        dispatcher.endAttempt(0, 0, 1, AttemptOutcome.OK, true);
        List<String> sent = dispatcher.takeActions();
        assertTrue(sent.stream().anyMatch(action -> action.startsWith("send 20")), sent.toString());
    }

    @Test
    void rejectsRequestWhenDeadlineHasPassed() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        dispatcher.receiveRequest(1, 0, dispatcher.now, 0);
        assertEquals(List.of("reject 1 0.5"), dispatcher.takeActions());
    }

    @Test
    void answersBeforeTheDeadlineWhenAnAttemptIsStillInFlight() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 2, 0);
        dispatcher.takeSentEngineId();
        dispatcher.advance(1.9);
        assertEquals(List.of(), dispatcher.takeActions());
        dispatcher.advance(0.1);
        assertEquals(List.of("reject 1 0.5", "cancel 1 0"), dispatcher.takeActions());
    }

    /**
     * After an uncertain outcome the next request of the key waits for the settle time. An error
     * counts as uncertain: engines also report it for requests that they no longer know, and the
     * dispatcher for requests without any response.
     */
    @ParameterizedTest
    @EnumSource(names = {"TIMEOUT", "CANCELLED", "ERROR"})
    void runsRequestsOfAKeyOneAtATimeAndPausesAfterAnUncertainOutcome(AttemptOutcome uncertain) {
        QueryClass orderedByKey =
                new QueryClassBuilder("s", Idempotency.NOT_IDEMPOTENT)
                        .orderedByKey()
                        .deadline(20)
                        .build();
        RecordingDispatcher dispatcher = withFourEngines(orderedByKey);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 20, 9);
        dispatcher.receiveRequest(2, 0, dispatcher.now + 20, 9);
        long engine = dispatcher.takeSentEngineId();
        dispatcher.endAttempt(1, 0, engine, uncertain, true);
        dispatcher.advance(0.9);
        assertEquals(List.of(), dispatcher.takeActions());
        dispatcher.advance(0.3);
        assertTrue(dispatcher.takeSentEngineId() > 0);
    }

    /** Many waiting requests of one key do not block requests behind them in the queue. */
    @Test
    void admitsOthersWhileManyRequestsOfOneKeyWait() {
        QueryClass orderedByKey =
                new QueryClassBuilder("s", Idempotency.IDEMPOTENT_WITH_KEY)
                        .orderedByKey()
                        .deadline(20)
                        .priorityWeight(9)
                        .build();
        RecordingDispatcher dispatcher = withFourEngines(orderedByKey, IDEMPOTENT);
        for (int i = 0; i < 30; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 20, 9);
        }
        assertEquals(
                1,
                dispatcher.takeActions().stream()
                        .filter(action -> action.startsWith("send"))
                        .count());
        dispatcher.receiveRequest(100, 1, dispatcher.now + 10, 0);
        assertTrue(
                dispatcher.takeActions().stream()
                        .anyMatch(action -> action.startsWith("send 100 ")));
    }

    /**
     * Where client connections are few, the least valuable requests are rejected once too many are
     * open.
     */
    @Test
    void shedsLoadAboveTheLimitOfOpenRequests() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        dispatcher.module.limitOpenRequests(50);
        for (int i = 0; i < 200; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
        }
        List<String> actions = dispatcher.takeActions();
        long sent = actions.stream().filter(action -> action.startsWith("send")).count();
        assertEquals(
                200 - Math.max(50, sent + 4),
                actions.stream().filter(action -> action.startsWith("reject")).count());
    }

    /**
     * Nothing can be served while the endpoint list is empty. A list from the cache of an earlier
     * process is too old to show that.
     */
    @Test
    void rejectsAtOnceWhenACurrentEndpointListIsEmpty() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(GUARANTEES, false, IDEMPOTENT));
        dispatcher.module.endpointsChanged(dispatcher.now, EndpointUpdateKind.CACHED, List.of());
        dispatcher.receiveRequest(1, 0, dispatcher.now + 4, 0);
        dispatcher.receiveRequest(2, 0, dispatcher.now + 8, 0);
        dispatcher.advance(3.9);
        assertEquals(List.of("reject 1 0.5"), dispatcher.takeActions());
        dispatcher.module.endpointsChanged(dispatcher.now, EndpointUpdateKind.FULL, List.of());
        dispatcher.advance(0.1);
        assertEquals(List.of("reject 2 0.5"), dispatcher.takeActions());
        dispatcher.receiveRequest(3, 0, dispatcher.now + 8, 0);
        assertEquals(List.of("reject 3 0.5"), dispatcher.takeActions());
        dispatcher.listReadyEngines(1);
        dispatcher.receiveRequest(4, 0, dispatcher.now + 8, 0);
        assertEquals(List.of("send 4 1"), dispatcher.takeActions());
        dispatcher.module.endpointsChanged(
                dispatcher.now,
                EndpointUpdateKind.DELTA,
                List.of(RecordingDispatcher.listing(1, EngineStage.GONE, 0)));
        dispatcher.receiveRequest(5, 0, dispatcher.now + 8, 0);
        assertEquals(List.of("reject 5 0.5"), dispatcher.takeActions());
    }
}
