package junipercourse.core;

import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;

/** What is answered because this process ends. */
public final class ShutdownResponder {
    private final DecisionSettings settings;
    private final OpenQueries answers;
    private final Consumer<InFlightQuery> abandon;

    /** {@code abandon} tells the module that no answer is owed any more. */
    ShutdownResponder(
            DecisionSettings settings, OpenQueries answers, Consumer<InFlightQuery> abandon) {
        this.settings = settings;
        this.answers = answers;
        this.abandon = abandon;
    }

    /**
     * Sends what has not been started to the process that comes after this one: clients may hold
     * only so many connections to both, and what waits here would keep others out there. Of what
     * has been started the youngest, which lose least, go the same way beyond what is kept, where
     * trying again is harmless.
     *
     * @param kept so many queries stay in hand at most, if that can be
     */
    public void handOverQueries(int maxKeptQueries) {
        List<InFlightQuery> open =
                answers.all().stream()
                        .filter(x -> !x.answered)
                        .sorted(Comparator.comparingDouble(x -> -x.query.arrival().readAt()))
                        .toList();
        for (InFlightQuery x : open) {
            if (x.sent() == 0 || answers.open() > maxKeptQueries && harmless(x)) {
                answers.refused(x, 0, "the dispatcher is being replaced");
                abandon.accept(x);
            }
        }
    }

    /** Whether the query may be tried again, although an attempt of it may have run. */
    private boolean harmless(InFlightQuery x) {
        QueryClass c = settings.queryClasses().get(x.query.queryClass());
        return x.sent() == 0
                || c.idempotency() == Idempotency.IDEMPOTENT
                || c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && c.deduplicationScope() == DeduplicationScope.ALL;
    }

    /**
     * Answers what is still open: a client told now can go elsewhere; one cut off by our end cannot
     * tell.
     */
    public void answerOpenQueries() {
        for (InFlightQuery x : answers.all()) {
            if (!x.answered) {
                if (harmless(x)) {
                    answers.refused(x, 0, "the dispatcher is shutting down");
                } else {
                    answers.failed(x, "the dispatcher is shutting down");
                }
                abandon.accept(x);
            }
        }
    }
}
