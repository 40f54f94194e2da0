package junipercourse.decision;

import static junipercourse.decision.DispatcherScenarios.IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.withFourEngines;
import static junipercourse.decision.RecordingDispatcher.GUARANTEES;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.LoadMetric;
import junipercourse.decision.api.LoadReportChannel;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.RequestId;
import org.junit.jupiter.api.Test;

/** Which engine an attempt is sent to. */
class EngineSelectionTest {
    @Test
    void sendsFirstAttemptToFrontTierWhenBackTierHasNoLessLoad() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        assertTrue(dispatcher.takeSentEngineId() <= 3);
    }

    @Test
    void sendsFirstAttemptToBackTierWhenItHasLessLoad() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        for (int i = 1; i <= 12; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
        }
        assertTrue(dispatcher.takeActions().stream().anyMatch(action -> action.endsWith(" 4")));
    }

    /**
     * With many dispatchers each gets few load reports of the few back tier engines, and all
     * together would overload them.
     */
    @Test
    void sendsFirstAttemptToBackTierOnlyOnAFreshReportAmongManyDispatchers() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(RecordingDispatcher.fleetSettings(14, IDEMPOTENT));
        dispatcher.listReadyEngines(4);
        for (long engineId = 1; engineId <= 3; engineId++) {
            dispatcher.module.probeCompleted(
                    dispatcher.now, new EngineId(engineId), AttemptOutcome.OK, 0, new float[] {7});
        }
        dispatcher.takeActions();
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        assertTrue(
                dispatcher.takeSentEngineId() <= 3, "no report shows less load on the back tier");
        dispatcher.module.probeCompleted(
                dispatcher.now, new EngineId(4), AttemptOutcome.OK, 0, new float[] {1});
        dispatcher.receiveRequest(2, 0, dispatcher.now + 10, 0);
        assertEquals(4, dispatcher.takeSentEngineId());
    }

    @Test
    void sendsNothingToDrainingOrRemovedEngines() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        dispatcher.module.endpointsChanged(
                dispatcher.now,
                EndpointUpdateKind.DELTA,
                List.of(
                        RecordingDispatcher.listing(1, EngineStage.DRAINING, 0),
                        RecordingDispatcher.listing(2, EngineStage.GONE, 0)));
        for (int i = 0; i < 40; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
        }
        assertTrue(
                dispatcher.takeActions().stream()
                        .noneMatch(action -> action.matches("send \\d+ [12]")));
    }

    @Test
    void waitsWhenNoEngineOfAnAllowedZoneIsReady() {
        QueryClass zoned =
                new QueryClassBuilder("b", Idempotency.IDEMPOTENT)
                        .deadline(20)
                        .allowedZones(Set.of(1))
                        .build();
        RecordingDispatcher dispatcher = withFourEngines(zoned);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        assertEquals(1, dispatcher.takeSentEngineId() % 2);
        dispatcher.module.endpointsChanged(
                dispatcher.now,
                EndpointUpdateKind.DELTA,
                List.of(
                        RecordingDispatcher.listing(1, EngineStage.GONE, 0),
                        RecordingDispatcher.listing(3, EngineStage.DRAINING, 0)));
        dispatcher.receiveRequest(2, 0, dispatcher.now + 10, 0);
        assertEquals(List.of(), dispatcher.takeActions());
    }

    /**
     * A report that all cores are busy does not show how much other dispatchers have in flight
     * there. They are assumed to have as much as this one.
     */
    @Test
    void assumesOthersHaveAsMuchInFlightWhenAllCoresAreBusy() {
        DecisionSettings base = RecordingDispatcher.fleetSettings(3, IDEMPOTENT);
        DecisionSettings settings =
                new DecisionSettings(
                        3,
                        0,
                        0,
                        false,
                        base.capacityRating(),
                        1,
                        LoadReportChannel.INLINE,
                        List.of(LoadMetric.BUSY),
                        base.queryClasses(),
                        List.of(),
                        base.engineKinds(),
                        base.limits(),
                        base.guarantees(),
                        base.engineCapabilities());
        RecordingDispatcher dispatcher = new RecordingDispatcher(settings);
        dispatcher.listReadyEngines(1);
        for (int i = 0; i < 9; i++) { // of the target of 16.5 threads for the engine
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
        }
        int sent =
                (int)
                        dispatcher.takeActions().stream()
                                .filter(action -> action.startsWith("send"))
                                .count();
        dispatcher.module.attemptEnded(
                dispatcher.now,
                new AttemptResult(
                        new RequestId(0),
                        0,
                        new EngineId(1),
                        AttemptOutcome.OK,
                        0.1,
                        true,
                        0,
                        0,
                        new float[] {1}));
        dispatcher.module.decide(dispatcher.now);
        dispatcher.takeActions();
        dispatcher.receiveRequest(50, 0, dispatcher.now + 10, 0);
        assertEquals(7, sent, "the usual load of other dispatchers leaves no capacity for more");
        assertEquals(
                List.of(),
                dispatcher.takeActions(),
                "6 of this dispatcher and as many of two others each leave no capacity");
    }

    /**
     * Dispatchers without communication choose the same engine for loads of a table group and other
     * engines for its reads.
     */
    @Test
    void sendsLoadsOfATableGroupToOneEngineAndReadsElsewhere() {
        QueryClass load =
                new QueryClassBuilder("l", Idempotency.IDEMPOTENT_WITH_KEY)
                        .deadline(20)
                        .loadsTables()
                        .build();
        QueryClass read =
                new QueryClassBuilder("r", Idempotency.IDEMPOTENT)
                        .deadline(20)
                        .blockedByLoads()
                        .build();
        Set<Long> loadEngineIds = new java.util.HashSet<>();
        for (int seed = 0; seed < 6; seed++) { // another dispatcher
            RecordingDispatcher dispatcher =
                    new RecordingDispatcher(
                            RecordingDispatcher.settings(GUARANTEES, false, load, read), seed);
            dispatcher.listReadyEngines(8);
            dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
            loadEngineIds.add(dispatcher.takeSentEngineId());
            dispatcher.endAttempt(1, 0, loadEngineIds.iterator().next(), AttemptOutcome.OK, true);
            dispatcher.receiveRequest(2, 1, dispatcher.now + 10, 0);
            assertTrue(!loadEngineIds.contains(dispatcher.takeSentEngineId()));
        }
        assertEquals(1, loadEngineIds.size());
    }

    @Test
    void acceptsEndpointListsInAnyOrder() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(GUARANTEES, false, IDEMPOTENT));
        List<EngineListing> listings =
                List.of(
                        RecordingDispatcher.listing(4, EngineStage.READY, 0),
                        RecordingDispatcher.listing(1, EngineStage.READY, 0));
        dispatcher.module.endpointsChanged(dispatcher.now, EndpointUpdateKind.FULL, listings);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        assertEquals(1, dispatcher.takeSentEngineId());
    }

    @Test
    void ignoresPeerMessagesWithImpossibleSenders() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(RecordingDispatcher.fleetSettings(3, IDEMPOTENT));
        dispatcher.listReadyEngines(4);
        for (int sender : new int[] {-1, 0, 1, 3, 1 << 30}) {
            for (int length : new int[] {0, 3, 9, 256, 4000}) {
                dispatcher.module.peerMessageReceived(dispatcher.now, sender, new byte[length]);
                dispatcher.module.decide(dispatcher.now);
            }
        }
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        assertTrue(dispatcher.takeSentEngineId() <= 4);
    }
}
