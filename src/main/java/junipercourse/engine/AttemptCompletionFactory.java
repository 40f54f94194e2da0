package junipercourse.engine;

import java.util.List;
import junipercourse.core.Backend.AttemptCompletion;
import junipercourse.decision.api.AttemptOutcome;

/** Creates the completion of an attempt from the response that ended its query. */
final class AttemptCompletionFactory {
    private static final int STATUS_FULL = 503;
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

    /** An attempt that failed; it may have run. */
    AttemptCompletion failed(HttpResponse response) {
        return notServed(AttemptOutcome.ERROR, response);
    }

    /** A response that the engine is full or the request is over; only some say it never ran. */
    AttemptCompletion notAccepted(HttpResponse response) {
        if (!"1".equals(response.header("x-unrun"))) {
            return failed(response);
        }
        boolean isFull = response.status() == STATUS_FULL;
        return notServed(isFull ? AttemptOutcome.REJECTED : AttemptOutcome.OBSOLETE, response);
    }

    private AttemptCompletion notServed(AttemptOutcome outcome, HttpResponse response) {
        return new AttemptCompletion(outcome, readLoadReport(response), 0, 0, List.of());
    }

    private float[] readLoadReport(HttpResponse response) {
        return loadReports.read(response.header("x-gauges"));
    }
}
