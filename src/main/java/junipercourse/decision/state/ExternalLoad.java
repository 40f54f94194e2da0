package junipercourse.decision.state;

/** The load that other dispatchers place on one engine, according to load reports and gossip. */
public final class ExternalLoad {
    private double reportedThreads;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private boolean probeInFlight;
    private double peerThreads;
    private double peerMemoryMb;

    /**
     * Returns the threads of other dispatchers according to load reports, as of {@link
     * #reportedAt()}.
     */
    public double reportedThreads() {
        return reportedThreads;
    }

    /** Returns the time of the last load report; negative infinity before the first. */
    public double reportedAt() {
        return reportedAt;
    }

    /** Returns true while a load probe is in flight. */
    public boolean isProbeInFlight() {
        return probeInFlight;
    }

    /** Returns the threads of other dispatchers according to gossip. */
    public double peerThreads() {
        return peerThreads;
    }

    /** Returns the memory granted to other dispatchers according to gossip, in MB. */
    public double peerMemoryMb() {
        return peerMemoryMb;
    }

    /** Replaces the threads of other dispatchers according to load reports. */
    public void recordReport(double now, double threads) {
        reportedThreads = threads;
        reportedAt = now;
    }

    /** Sets whether a load probe is in flight. */
    public void setProbeInFlight(boolean inFlight) {
        probeInFlight = inFlight;
    }

    /** Adds the load that a peer reports; negative values subtract an expired report. */
    public void addPeerLoad(double threadChange, double memoryChangeMb) {
        peerThreads = Math.max(0, peerThreads + threadChange);
        peerMemoryMb = Math.max(0, peerMemoryMb + memoryChangeMb);
    }
}
