package junipercourse.core;

import junipercourse.net.Deadlines;

/** A query from its arrival until its answer is given and none of its attempts is out. */
final class Exchange {
    final Query query;
    final Reply reply;
    long id;
    Deadlines.Entry lastMoment;
    Deadlines.Entry attemptTimeout;
    Backend.Attempt out;
    int attempts;
    int unsent;
    boolean answered;

    Exchange(Query query, Reply reply) {
        this.query = query;
        this.reply = reply;
    }

    /** Attempts of which an engine may have seen something. */
    int sent() {
        return attempts - unsent;
    }
}
