package junipercourse.decision.state;

/** When an engine started and how much of its slow-start budget this dispatcher may use. */
public final class SlowStartState {
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double refilledAt;
    private double credit;

    /** Returns the time of the engine's start; negative infinity if it has been up for long. */
    public double startedAt() {
        return startedAt;
    }

    /** Returns the time at which the credit was last refilled. */
    public double refilledAt() {
        return refilledAt;
    }

    /** Returns the credit in seconds of work; below 0 nothing may be sent. */
    public double credit() {
        return credit;
    }

    /** Moves the start to a later time; an earlier one is ignored. */
    public void restart(double newStartedAt) {
        startedAt = Math.max(startedAt, newStartedAt);
        refilledAt = startedAt;
    }

    /** Sets the credit with which the slow start begins. */
    public void setCredit(double initialCredit) {
        credit = initialCredit;
    }

    /** Adds credit, up to 0. */
    public void refill(double now, double addedCredit) {
        credit = Math.min(0, credit + addedCredit);
        refilledAt = now;
    }

    void charge(double amount) {
        credit -= amount;
    }

    void refund(double amount) {
        credit += amount;
    }
}
