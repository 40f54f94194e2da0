package junipercourse.decision.state;

import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.EngineListing;

/** One attempt of a request at an engine. */
public final class Attempt {
    private final PendingRequest request;
    private final EngineState engine;
    private final EngineListing listingAtStart;
    private final int number;
    private final Tier tier;
    private final double engineStartedAt;
    private final double slowStartCharge;
    private final double sentAt;
    private final double memoryMb;
    private final double expectedLatency;
    private double projectedLatency;
    private boolean cancelled;
    private boolean spilled;
    private boolean overlong;

    /**
     * Creates the next attempt of a request. It counts only after {@link #begin}.
     *
     * @param sentAt time at which it is sent
     * @param memoryMb memory grant in MB
     * @param expectedLatency seconds that it is expected to take
     * @param slowStartCharge what it takes of the engine's slow-start budget, in seconds of work
     */
    public Attempt(
            PendingRequest request,
            EngineState engine,
            double sentAt,
            double memoryMb,
            double expectedLatency,
            double slowStartCharge) {
        this.request = request;
        this.engine = engine;
        this.listingAtStart = engine.listing();
        this.number = request.nextAttemptNumber();
        this.tier = engine.tier();
        this.engineStartedAt = engine.slowStart().startedAt();
        this.slowStartCharge = slowStartCharge;
        this.sentAt = sentAt;
        this.memoryMb = memoryMb;
        this.expectedLatency = expectedLatency;
    }

    /** Reserves its capacity at the engine and makes it the active attempt of its request. */
    public void begin() {
        request.begin(this);
        if (engine.inFlight().attemptCount() == 0) {
            engine.health().restartActivityClock(sentAt);
        }
        engine.slowStart().charge(slowStartCharge);
        engine.inFlight().reserve(request, memoryMb);
    }

    /**
     * Releases its capacity. If none of it was written, the slow-start charge is refunded, unless
     * the engine has been restarted since.
     */
    public void end(AttemptOutcome outcome) {
        engine.inFlight().release(this);
        engine.health().removeSilentAttempt(this);
        boolean unwritten =
                outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.UNREACHABLE;
        if (unwritten && !engineRestarted()) {
            engine.slowStart().refund(slowStartCharge);
        }
        request.end(this, outcome);
    }

    /** Returns its request. */
    public PendingRequest request() {
        return request;
    }

    /** Returns its engine. */
    public EngineState engine() {
        return engine;
    }

    /** Returns the engine's list entry when it was sent. */
    public EngineListing listingAtStart() {
        return listingAtStart;
    }

    /** Returns its number within the request, from 0. */
    public int number() {
        return number;
    }

    /** Returns true if it was sent to the front tier, where the cutoff applies. */
    public boolean isOnFrontTier() {
        return tier == Tier.FRONT;
    }

    /** Returns true if its engine has been restarted since it was sent. */
    public boolean engineRestarted() {
        return engineStartedAt != engine.slowStart().startedAt();
    }

    /** Returns the time at which it was sent. */
    public double sentAt() {
        return sentAt;
    }

    /** Returns its memory grant in MB. */
    public double memoryMb() {
        return memoryMb;
    }

    /** Returns the seconds that it was expected to take when it was sent. */
    public double expectedLatency() {
        return expectedLatency;
    }

    /** Returns the latency projected from its progress, in seconds; 0 without a report. */
    public double projectedLatency() {
        return projectedLatency;
    }

    /** Sets the latency projected from its progress, in seconds. */
    public void setProjectedLatency(double seconds) {
        projectedLatency = seconds;
    }

    /** Returns true once its cancellation was requested. */
    public boolean isCancelled() {
        return cancelled;
    }

    /** Notes that its cancellation was requested. */
    public void markCancelled() {
        cancelled = true;
    }

    /** Returns true if it reported a spill to disk. */
    public boolean hasSpilled() {
        return spilled;
    }

    /** Notes that it reported a spill to disk. */
    public void markSpilled() {
        spilled = true;
    }

    /** Returns true once it has run for far longer than expected. */
    public boolean isOverlong() {
        return overlong;
    }

    /** Notes that it has run for far longer than expected. */
    public void markOverlong() {
        overlong = true;
        engine.inFlight().addOverlongThreads(request.queryClass().threads());
    }
}
