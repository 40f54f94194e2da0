package junipercourse.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import junipercourse.decision.SlowStartDispatcher.Asked;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.decision.state.EngineRegistry;

/**
 * A model day at any size: one engine comes up cold beside many warm ones, before many real
 * instances of the module, under steady traffic. It has the parts of {@link SlowStartSimulation}
 * but none of its faults, so that what is seen comes from the size alone. All is drawn from one
 * seed. Dispatchers of uneven traffic, by rank to a power of 0.4 to 0.9; one in seven hears of the
 * engine 3 to 8 s late.
 */
final class EngineReplacementSimulation {
    private static final double BEFORE_S = 6; // of steady traffic, from which dispatchers learn
    static final double AFTER_S = 6; // beyond the ramp
    private static final double SHARE =
            0.8; // of the mean front engine's work passes for a full share
    private static final long NEW_ID = 1; // the lowest id, so that it is in front

    /**
     * What came of the join; ages are seconds since the start of the engine, NaN where it never
     * was.
     *
     * @param cold the verdict on the ramp
     * @param firstAge of the first query
     * @param shareAge when its work of the last window first was its share
     * @param firstWindow queries in the first window
     * @param rampPart work of the ramp by that of the mean front engine in the time, which is warm
     * @param shareAfter the same from the end of the ramp to the end of the day
     * @param mostAfter its fullest window from the end of the ramp on, by the same line
     * @param bears queries of mean work that the settings allow in the first window
     * @param queriesPerS all queries asked, by the length of the day
     * @param missed part of all queries that had no answer when their time was up
     */
    record Joined(
            StartingEngineModel.Verdict cold,
            double firstAge,
            double shareAge,
            int firstWindow,
            double rampPart,
            double shareAfter,
            double mostAfter,
            double bears,
            double queriesPerS,
            double missed) {}

    /** An attempt at its engine. */
    private static final class Run {
        final SlowStartDispatcher from;
        final Asked asked;
        final int index;
        final QueryClass c;
        final long engine;
        double left;

        Run(SlowStartDispatcher from, Asked asked, QueryClass c) {
            this.from = from;
            this.asked = asked;
            this.index = asked.tries++;
            this.c = c;
            this.engine = asked.engine;
            this.left = asked.work;
        }
    }

    private record News(double at, SlowStartDispatcher to) implements Comparable<News> {
        @Override
        public int compareTo(News o) {
            return Double.compare(at, o.at);
        }
    }

    private record Arrival(double at, double work) {}

    private final SlowStartSite site;
    private final Random random;
    private final Map<Long, StartingEngineModel<Run>> engines = new HashMap<>();
    private final List<SlowStartDispatcher> gateways = new ArrayList<>();
    private final double[] upTo; // running sum of weights
    private final PriorityQueue<News> news = new PriorityQueue<>();
    private final List<Arrival> fresh = new ArrayList<>();
    private final List<Arrival> front = new ArrayList<>(); // at all warm front engines
    private final double up, end, rate, step;
    private final int warmFront;
    private double now;
    private long lastId;
    private int asked;

    /**
     * @param step seconds, well under the time of a query
     * @param count warm engines
     * @param load of the traffic, by what all warm engines can do
     */
    EngineReplacementSimulation(
            SlowStartSite site, double step, int size, int count, double load, long seed) {
        this.site = site;
        this.step = step;
        this.random = new Random(seed);
        double capacity = count * site.cores() / site.mean();
        rate = load * capacity;
        up = BEFORE_S;
        end = up + site.rules().slowStartSeconds() + AFTER_S;
        List<EngineListing> list = new ArrayList<>();
        for (long id = NEW_ID + 1; id <= NEW_ID + count; id++) {
            engines.put(
                    id,
                    new StartingEngineModel<>(
                            site, id, 0, Double.MAX_VALUE, 0.9 + 0.2 * random.nextDouble()));
            list.add(new EngineListing(new EngineId(id), 0, 0, 0, EngineStage.READY, 1, 0));
        }
        engines.put(NEW_ID, new StartingEngineModel<>(site, NEW_ID, up, Double.MAX_VALUE, 1));
        warmFront = count - Math.max(1, (int) Math.round(count * EngineRegistry.BACK_TIER_SHARE));
        double power = 0.4 + 0.5 * random.nextDouble();
        double notice = up + 0.1 + 0.2 * random.nextDouble();
        upTo = new double[size];
        for (int i = 0; i < size; i++) {
            upTo[i] = (i == 0 ? 0 : upTo[i - 1]) + Math.pow(i + 1, -power);
            double late = random.nextDouble() < 0.15 ? 3 + 5 * random.nextDouble() : 0;
            SlowStartDispatcher g = new SlowStartDispatcher(i, late, Double.MAX_VALUE);
            g.start(0, site.settings(size, i, rate / 0.85), random.nextLong(), list);
            gateways.add(g);
            news.add(new News(notice + late + 0.2 * random.nextDouble(), g));
        }
        play();
    }

    private void play() {
        EngineListing cold =
                new EngineListing(new EngineId(NEW_ID), 0, 0, 0, EngineStage.READY, 1, up);
        for (double next = 0; now < end; ) {
            now += step;
            while (!news.isEmpty() && news.peek().at <= now) {
                news.poll().to.hear(now, EndpointUpdateKind.DELTA, List.of(cold));
            }
            for (; next < now; next += -Math.log(1 - random.nextDouble()) / rate) {
                ask();
            }
            engines.values().forEach(this::step);
            for (SlowStartDispatcher g : gateways) {
                while (g.settle(now)) {
                    act(g);
                }
            }
        }
    }

    private void ask() {
        int g = Arrays.binarySearch(upTo, random.nextDouble() * upTo[upTo.length - 1]);
        int c = 0;
        double pick = random.nextDouble() * site.shares();
        for (; c < site.share().length - 1 && pick >= site.share()[c]; c++) {
            pick -= site.share()[c];
        }
        double work = site.draw(c, random);
        double cost = work * Math.exp(0.3 * random.nextGaussian());
        double tenant = random.nextDouble();
        long key = site.classes().get(c).orderedByKey() ? ++lastId : 0; // no two share one
        asked++;
        gateways.get(Math.min(upTo.length - 1, g < 0 ? -g - 1 : g))
                .request(
                        now,
                        new QueryRequest(
                                new RequestId(++lastId),
                                c,
                                tenant < 0.41 ? 0 : tenant < 0.81 ? 1 : 2,
                                now + site.classes().get(c).deadlineSeconds(),
                                key,
                                random.nextInt(40),
                                cost,
                                0,
                                false),
                        work);
    }

    private void act(SlowStartDispatcher g) {
        for (Asked a : List.copyOf(g.sends)) {
            Run run = new Run(g, a, site.classes().get(a.r.queryClass()));
            a.out = run;
            StartingEngineModel<Run> at = engines.get(run.engine);
            at.running.add(run);
            at.arrived(now, a.work, true);
            if (at.id <= NEW_ID + warmFront) {
                (at.id == NEW_ID ? fresh : front).add(new Arrival(now, a.work));
            }
        }
        g.sends.clear();
        for (Asked a : List.copyOf(g.cancels)) {
            if (a.out instanceof Run run) {
                engines.get(run.engine).running.remove(run);
                over(run, AttemptOutcome.CANCELLED, 0);
            }
        }
        g.cancels.clear();
    }

    private void step(StartingEngineModel<Run> e) {
        if (e.running.isEmpty()) {
            return;
        }
        double threads = e.running.stream().mapToDouble(r -> r.c.threads()).sum();
        double capacity = e.capacity(now);
        List<Run> ended = new ArrayList<>();
        for (Run r : e.running) {
            r.left -= step * r.c.threads() * Math.min(1, capacity / threads);
            if (r.left <= 0) {
                ended.add(r);
            }
        }
        e.running.removeAll(ended);
        ended.forEach(r -> over(r, AttemptOutcome.OK, (float) Math.min(1, threads / capacity)));
    }

    private void over(Run run, AttemptOutcome outcome, float busy) {
        boolean ok = outcome == AttemptOutcome.OK;
        run.asked.out = null;
        if (ok) {
            run.from.asked.remove(run.asked.r.id().value());
        }
        run.from.module.attemptEnded(
                now,
                new AttemptResult(
                        run.asked.r.id(),
                        run.index,
                        new EngineId(run.engine),
                        outcome,
                        0,
                        ok,
                        ok ? run.asked.work : 0,
                        0,
                        new float[] {0, busy}));
        run.from.touched = true;
    }

    private static double work(List<Arrival> all, double after, double to) {
        return all.stream()
                .filter(a -> a.at > after && a.at <= to)
                .mapToDouble(Arrival::work)
                .sum();
    }

    private double line(double age) {
        double span = site.rules().overloadWindowSeconds();
        double n =
                site.cores()
                        * site.warmth(age)
                        * site.rules().overloadMultiple()
                        * span
                        / site.mean();
        return n + 2 * Math.sqrt(n) + 2;
    }

    Joined joined() {
        double span = site.rules().overloadWindowSeconds();
        double warm = up + site.rules().slowStartSeconds();
        double usual = work(front, up, end) / warmFront / (end - up);
        double shareAge = Double.NaN;
        double mostAfter = 0;
        for (double t = up + span; t <= end; t += 0.1) {
            double got = work(fresh, t - span, t);
            if (Double.isNaN(shareAge) && got >= SHARE * usual * span) {
                shareAge = t - up;
            }
            if (t >= warm) {
                mostAfter = Math.max(mostAfter, got / site.mean() / line(t - up));
            }
        }
        long late =
                gateways.stream()
                        .flatMap(g -> g.asked.values().stream())
                        .filter(a -> a.out == null && a.r.deadlineAt() < now)
                        .count();
        double n =
                site.cores()
                        * site.warmth(0)
                        * site.rules().overloadMultiple()
                        * span
                        / site.mean();
        return new Joined(
                engines.get(NEW_ID).judge(),
                fresh.isEmpty() ? Double.NaN : fresh.get(0).at - up,
                shareAge,
                (int) fresh.stream().filter(a -> a.at <= up + span).count(),
                work(fresh, up, warm) / usual / (warm - up),
                work(fresh, warm, end) / usual / (end - warm),
                mostAfter,
                n,
                asked / end,
                (double) late / asked);
    }
}
