package junipercourse.decision;

import static junipercourse.decision.DispatcherScenarios.IDEMPOTENT;
import static junipercourse.decision.RecordingDispatcher.GUARANTEES;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.Test;

/** Work that is sent to an engine during slow start. */
class SlowStartTest {
    @Test
    void keepsTheBudgetOfAWarmingEngineInAnyWindow() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(GUARANTEES, false, IDEMPOTENT));
        dispatcher.module.endpointsChanged(
                dispatcher.now,
                EndpointUpdateKind.FULL,
                List.of(RecordingDispatcher.listing(1, EngineStage.READY, dispatcher.now)));
        for (int i = 0; i < 200; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
        }
        long sent =
                dispatcher.takeActions().stream()
                        .filter(action -> action.startsWith("send"))
                        .count();
        // The limit is 2.5 x 0.3 x 10 cores x 0.85 busy x 3 s = 19.1 s of work,
        // of which this dispatcher gets at most a half, and uses that to 0.6.
        assertTrue(sent >= 1 && sent * 0.5 <= 5.8, "sent " + sent);
    }

    /**
     * Dispatchers that learn of a cold engine at the same time must not send their heavy queries in
     * step.
     */
    @Test
    void keepsTheBudgetOfAWarmingEngineAcrossDispatchers() {
        double sent = 0;
        for (int index = 0; index < 200; index++) {
            RecordingDispatcher dispatcher =
                    new RecordingDispatcher(
                            RecordingDispatcher.fleetSettings(200, IDEMPOTENT), index);
            dispatcher.module.endpointsChanged(
                    dispatcher.now,
                    EndpointUpdateKind.FULL,
                    List.of(RecordingDispatcher.listing(1, EngineStage.READY, dispatcher.now)));
            for (int i = 0; i < 12; i++) {
                dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
                dispatcher.advance(0.25);
            }
            sent +=
                    dispatcher.takeActions().stream()
                            .filter(action -> action.startsWith("send"))
                            .count();
        }
        // The limit is 2.5 x 0.3 x 10 cores x 0.85 busy x 3 s = 19.1 s of work; each attempt takes
        // 0.5 s.
        assertTrue(sent >= 1 && sent * 0.5 <= 19.1, "sent " + sent);
    }
}
