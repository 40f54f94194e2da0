package junipercourse.decision;

import junipercourse.decision.DispatchApi.Engine;

/** One attempt that is out; {@code at} is the engine as listed when it was sent. */
final class Attempt {
    final Job job;
    final Node node;
    final Engine at;
    final int index;
    final boolean first;
    double sentAt, mb, expected, foretold;
    boolean cancelled, spilled, overlong;

    Attempt(Job job, Node node) {
        this.job = job;
        this.node = node;
        this.at = node.entry;
        this.index = job.tries++;
        this.first = !node.back;
    }
}
