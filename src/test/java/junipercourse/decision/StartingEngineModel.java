package junipercourse.decision;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One life of an engine of a {@link SlowStartSimulation}: what runs there, and all work that came
 * while it was cold.
 */
final class StartingEngineModel<R> {
    final Set<R> running = new LinkedHashSet<>();
    final long id;
    final double up;
    private final SlowStartSite site;
    private final double down;
    private final double speed;
    private final List<Arrival> arrivals = new ArrayList<>();

    private record Arrival(double at, double work, boolean told) {}

    /**
     * What came of one start: windows and those over the line; whether it would have fallen, and
     * whether two thirds of that first fall came from dispatchers that had been told; the fullest
     * window by its line, and when; all work that it got by what it could do while it was cold.
     */
    record Verdict(
            int windows,
            int over,
            boolean fell,
            boolean broken,
            double most,
            double age,
            double used) {}

    /**
     * @param up when it came up, 0 for long ago
     */
    StartingEngineModel(SlowStartSite site, long id, double up, double down, double speed) {
        this.site = site;
        this.id = id;
        this.up = up;
        this.down = down;
        this.speed = speed;
    }

    boolean isUp(double now) {
        return now >= up && now < down;
    }

    double capacity(double now) {
        return site.cores() * speed * (up == 0 ? 1 : site.warmth(now - up));
    }

    void arrived(double now, double work, boolean told) {
        if (up > 0 && now < up + site.rules().slowStartSeconds()) {
            arrivals.add(new Arrival(now, work, told));
        }
    }

    /** Judges every window that ends in a step of the day while it was cold. */
    Verdict judge() {
        double span = site.rules().overloadWindowSeconds();
        int windows = 0;
        int over = 0;
        double most = 0;
        double age = 0;
        boolean fell = false;
        boolean broken = false;
        for (double t = up;
                t < up + site.rules().slowStartSeconds();
                t += SlowStartSimulation.STEP_S) {
            double sum = 0;
            double told = 0;
            for (Arrival a : arrivals) {
                if (a.at > t - span && a.at <= t) {
                    sum += a.work / site.mean();
                    told += a.told ? a.work / site.mean() : 0;
                }
            }
            double n = capacity(t) * site.rules().overloadMultiple() * span / site.mean();
            double line = n + 2 * Math.sqrt(n) + 2;
            windows++;
            over += sum > line ? 1 : 0;
            broken |= sum > line && !fell && told > sum * 2 / 3;
            fell |= sum > line;
            age = sum / line > most ? t - up : age;
            most = Math.max(most, sum / line);
        }
        double all = arrivals.stream().mapToDouble(Arrival::work).sum();
        double bears =
                site.cores()
                        * speed
                        * site.rules().slowStartSeconds()
                        * (1 + site.rules().slowStartInitialCapacity())
                        / 2;
        return new Verdict(windows, over, fell, broken, most, age, all / bears);
    }
}
