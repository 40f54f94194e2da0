package junipercourse.engine;

import java.util.List;
import junipercourse.core.Backend.AttemptCompletion;
import junipercourse.decision.api.AttemptOutcome;

/** Creates the completion of an attempt from the response that ended its query. */
final class AttemptCompletionFactory {
    private static final double MILLIS_PER_SECOND = 1000;

    private final EngineClient.LoadReportReader loadReports;

    AttemptCompletionFactory(EngineClient.LoadReportReader loadReports) {
        this.loadReports = loadReports;
    }

    /** An attempt whose result pages are all fetched; {@code firstPage} carries its cost. */
    AttemptCompletion served(HttpResponse firstPage, ResultPages pages) {
        return new AttemptCompletion(
                AttemptOutcome.OK,
                readLoadReport(firstPage),
                firstPage.decimalHeader("x-effort") / MILLIS_PER_SECOND,
                firstPage.decimalHeader("x-footprint"),
                pages.toList());
    }

    /** An attempt without a result. */
    AttemptCompletion notServed(AttemptOutcome outcome, HttpResponse response) {
        return new AttemptCompletion(outcome, readLoadReport(response), 0, 0, List.of());
    }

    private float[] readLoadReport(HttpResponse response) {
        return loadReports.read(response.header("x-gauges"));
    }
}
