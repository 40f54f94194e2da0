package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import org.junit.jupiter.api.Test;

/** The embedding example of the README. */
class EmbeddingTest {
    @Test
    void runsTheExampleOfTheReadme() {
        RecordingDispatcher actions =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(
                                RecordingDispatcher.GUARANTEES,
                                false,
                                RecordingDispatcher.queryClass(Idempotency.IDEMPOTENT, 1, 4, 1)));
        TagsDispatcher module = actions.module;
        double now = 10;
        EngineId engine = new EngineId(1);
        module.endpointsChanged(
                now,
                EndpointUpdateKind.FULL,
                List.of(RecordingDispatcher.listing(1, EngineStage.READY, 0)));
        module.requestReceived(
                now,
                new QueryRequest(new RequestId(1), 0, 0, now + 4, 0, 0f, Double.NaN, 0, false));
        module.decide(now);
        now += 0.2;
        module.attemptEnded(
                now,
                new AttemptResult(
                        new RequestId(1),
                        0,
                        engine,
                        AttemptOutcome.OK,
                        0.2,
                        true,
                        0,
                        0,
                        new float[0]));
        module.timerFired(now, 0);
        module.decide(now);
        assertEquals(List.of("send 1 1"), actions.takeActions());
    }
}
