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
     * Creates the next attempt of a request. It reserves nothing before {@link #begin}.
     *
     * @param sentAt time at which it is sent
     * @param memoryMb memory grant in MB
     * @param expectedLatency expected latency in seconds
     * @param slowStartCharge charge to the slow-start credit of the engine, in seconds of work
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

    /** Reserves capacity at the engine and makes this the active attempt of the request. */
    public void begin() {
        request.begin(this);
        if (engine.inFlight().attemptCount() == 0) {
            engine.health().restartActivityClock(sentAt);
        }
        engine.slowStart().charge(slowStartCharge);
        engine.inFlight().reserve(request, memoryMb);
    }

    /**
     * Releases the reserved capacity. The slow-start charge is refunded if no byte of the attempt
     * was written and the engine has not been restarted since.
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

    /** Returns the request that this attempt belongs to. */
    public PendingRequest request() {
        return request;
    }

    /** Returns the engine that it was sent to. */
    public EngineState engine() {
        return engine;
    }

    /** Returns the endpoint list entry of the engine at the time of sending. */
    public EngineListing listingAtStart() {
        return listingAtStart;
    }

    /** Returns the number of this attempt within the request, from 0. */
    public int number() {
        return number;
    }

    /** Returns true if it was sent to the front tier, where the cutoff applies. */
    public boolean isOnFrontTier() {
        return tier == Tier.FRONT;
    }

    /** Returns true if the engine has been restarted since this attempt was sent. */
    public boolean engineRestarted() {
        return engineStartedAt != engine.slowStart().startedAt();
    }

    /** Returns the time at which it was sent. */
    public double sentAt() {
        return sentAt;
    }

    /** Returns the memory grant in MB. */
    public double memoryMb() {
        return memoryMb;
    }

    /** Returns the latency expected at the time of sending, in seconds. */
    public double expectedLatency() {
        return expectedLatency;
    }

    /**
     * Returns the latency projected from progress reports, in seconds; 0 before the first report.
     */
    public double projectedLatency() {
        return projectedLatency;
    }

    /** Sets the latency projected from a progress report, in seconds. */
    public void setProjectedLatency(double seconds) {
        projectedLatency = seconds;
    }

    /** Returns true after its cancellation was requested. */
    public boolean isCancelled() {
        return cancelled;
    }

    /** Records that its cancellation was requested. */
    public void markCancelled() {
        cancelled = true;
    }

    /** Returns true if it reported a spill to disk. */
    public boolean hasSpilled() {
        return spilled;
    }

    /** Records that it reported a spill to disk. */
    public void markSpilled() {
        spilled = true;
    }

    /** Returns true after it was marked as running far longer than expected. */
    public boolean isOverlong() {
        return overlong;
    }

    /**
     * Marks it as running far longer than expected; its threads are then excluded from the
     * aggregate load of this dispatcher.
     */
    public void markOverlong() {
        overlong = true;
        engine.inFlight().addOverlongThreads(request.queryClass().threads());
    }
}
