package junipercourse.decision.state;

/** The start time of an engine, and how much of its slow-start budget this dispatcher may use. */
public final class SlowStartState {
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double refilledAt;
    private double credit;

    /** Returns the time at which the engine started; negative infinity if that was long ago. */
    public double startedAt() {
        return startedAt;
    }

    /** Returns the time at which the credit was last refilled. */
    public double refilledAt() {
        return refilledAt;
    }

    /** Returns the credit in seconds of work; while it is negative, nothing may be sent. */
    public double credit() {
        return credit;
    }

    /** Sets a later start time; an earlier one is ignored. */
    public void restart(double newStartedAt) {
        startedAt = Math.max(startedAt, newStartedAt);
        refilledAt = startedAt;
    }

    /** Sets the credit at the beginning of the slow start. */
    public void setCredit(double initialCredit) {
        credit = initialCredit;
    }

    /** Adds credit; the total never exceeds 0. */
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
