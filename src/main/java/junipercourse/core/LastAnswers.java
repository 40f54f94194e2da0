package junipercourse.core;

import java.util.function.Consumer;
import junipercourse.decision.DispatchApi.Effect;
import junipercourse.decision.DispatchApi.KeyScope;
import junipercourse.decision.DispatchApi.QueryClass;
import junipercourse.decision.DispatchApi.Settings;

/** What is answered because this process ends. */
public final class LastAnswers {
    private final Settings settings;
    private final Answers answers;
    private final Consumer<Exchange> abandon;

    /** {@code abandon} tells the module that no answer is owed any more. */
    LastAnswers(Settings settings, Answers answers, Consumer<Exchange> abandon) {
        this.settings = settings;
        this.answers = answers;
        this.abandon = abandon;
    }

    /**
     * Sends what has not been started to the process that comes after this one: clients may hold only so many
     * connections to both, and what waits here would keep others out there.
     */
    public void handOver() {
        for (Exchange x : answers.all()) {
            if (!x.answered && x.attempts == 0) {
                answers.refused(x, 0, "the dispatcher is being replaced");
                abandon.accept(x);
            }
        }
    }

    /** Answers what is still open: a client told now can go elsewhere; one cut off by our end cannot tell. */
    public void answerAll() {
        for (Exchange x : answers.all()) {
            if (!x.answered) {
                QueryClass c = settings.classes().get(x.query.queryClass());
                boolean dropped = c.effect() == Effect.BY_KEY && c.scope() == KeyScope.ALL;
                if (x.attempts == 0 || c.effect() == Effect.REPEATABLE || dropped) {
                    answers.refused(x, 0, "the dispatcher is shutting down");
                } else {
                    answers.failed(x, "the dispatcher is shutting down");
                }
                abandon.accept(x);
            }
        }
    }
}
