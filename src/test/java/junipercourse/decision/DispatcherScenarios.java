package junipercourse.decision;

import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;

/** Query classes and situations that several tests of the module start from. */
final class DispatcherScenarios {
    static final QueryClass IDEMPOTENT =
            RecordingDispatcher.queryClass(Idempotency.IDEMPOTENT, 1, 10, 1);
    static final QueryClass NOT_IDEMPOTENT =
            RecordingDispatcher.queryClass(Idempotency.NOT_IDEMPOTENT, 1, 10, 1);
    private static final int TRAINING_REQUESTS = 40;
    private static final int FIRST_TRAINING_ID = 1000;

    private DispatcherScenarios() {}

    /** Returns a dispatcher of these classes with engines 1 to 4, of which 4 is the back tier. */
    static RecordingDispatcher withFourEngines(QueryClass... classes) {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(
                                RecordingDispatcher.GUARANTEES, false, classes));
        dispatcher.listReadyEngines(4);
        dispatcher.takeActions();
        return dispatcher;
    }

    /** Answers requests within 0.1 s until the class has a cutoff of its own. */
    static void trainCutoff(RecordingDispatcher dispatcher, int queryClass) {
        for (int i = 0; i < TRAINING_REQUESTS; i++) {
            long id = FIRST_TRAINING_ID + i;
            dispatcher.receiveRequest(id, queryClass, dispatcher.now + 10, 0);
            long engine = dispatcher.takeSentEngineId();
            dispatcher.advance(0.1);
            dispatcher.takeActions();
            dispatcher.endAttempt(id, 0, engine, AttemptOutcome.OK, true);
        }
        dispatcher.advance(1.1);
        dispatcher.takeActions();
    }
}
