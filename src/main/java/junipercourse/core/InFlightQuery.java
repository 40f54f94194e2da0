package junipercourse.core;

import junipercourse.net.DeadlineQueue;

/** A query from its arrival until it is answered and none of its attempts is running. */
final class InFlightQuery {
    final Query query;
    final ResponseHandler responseHandler;
    long id;
    DeadlineQueue.Entry deadlineTimer;
    DeadlineQueue.Entry attemptTimer;
    Backend.Attempt currentAttempt;
    int attemptCount;
    int unsentAttemptCount;
    boolean isAnswered;
    boolean isAbandoned;

    InFlightQuery(Query query, ResponseHandler responseHandler) {
        this.query = query;
        this.responseHandler = responseHandler;
    }

    /** Returns the number of attempts of which an engine may have received something. */
    int sentAttemptCount() {
        return attemptCount - unsentAttemptCount;
    }
}
