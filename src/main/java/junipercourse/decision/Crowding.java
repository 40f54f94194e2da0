package junipercourse.decision;

/**
 * How many times longer threads are held than their work takes, over the last while: by Little's law, thread
 * seconds held over work done. Unlike the mean pace of answers it also counts what is cut or hangs and brings
 * no answer, so that it rises as soon as engines thrash.
 */
final class Crowding {
    private final double memory;
    private final double prior;
    private double held;
    private double done;
    private double at = Double.NaN;

    /**
     * @param memory seconds over which what was seen fades
     * @param prior seconds of work that count as seen and not crowded
     */
    Crowding(double memory, double prior) {
        this.memory = memory;
        this.prior = prior;
    }

    /** An attempt held threads for so many thread seconds, and so much work was answered. */
    void add(double now, double threadSeconds, double work) {
        double part = Double.isNaN(at) ? 1 : Math.exp(Math.min(0, at - now) / memory);
        at = now;
        held = held * part + threadSeconds;
        done = done * part + work;
    }

    /** 1 or somewhat more: all is well; half the capacity is lost, or as much is on its way, at 2 to 3. */
    double factor() {
        return (held + prior) / (done + prior);
    }
}
