package junipercourse.decision.state;

/** The load that other dispatchers place on one engine, as far as reports and gossip tell. */
public final class ExternalLoad {
    private double reportedThreads;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private boolean probeInFlight;
    private double peerThreads;
    private double peerMemoryMb;

    /** Returns the threads of others by the engine's reports; as of {@link #reportedAt()}. */
    public double reportedThreads() {
        return reportedThreads;
    }

    /** Returns the time of the last report; negative infinity before the first. */
    public double reportedAt() {
        return reportedAt;
    }

    /** Returns true while a load probe is in flight. */
    public boolean isProbeInFlight() {
        return probeInFlight;
    }

    /** Returns the threads of others by gossip. */
    public double peerThreads() {
        return peerThreads;
    }

    /** Returns the memory granted to others by gossip, in MB. */
    public double peerMemoryMb() {
        return peerMemoryMb;
    }

    /** Replaces the threads of others by a new report. */
    public void recordReport(double now, double threads) {
        reportedThreads = threads;
        reportedAt = now;
    }

    /** Notes whether a load probe is in flight. */
    public void setProbeInFlight(boolean inFlight) {
        probeInFlight = inFlight;
    }

    /** Adds what a peer has newly reported, or subtracts what is no longer valid. */
    public void addPeerLoad(double threadChange, double memoryChangeMb) {
        peerThreads = Math.max(0, peerThreads + threadChange);
        peerMemoryMb = Math.max(0, peerMemoryMb + memoryChangeMb);
    }
}
