package junipercourse.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
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

/**
 * A model day: many dispatchers of uneven traffic and engines that come up cold in bulk. All is
 * drawn from one seed, time goes in steps. It tells how much work all together sent to each cold
 * engine in the window of the settings. Engines share their cores among what runs and do not fall,
 * so that each window counts.
 */
final class SlowStartSimulation {
    static final double STEP_S = 0.02;
    private static final double BEFORE_S = 10; // of steady traffic, from which dispatchers learn
    private static final double BULK_S = 7; // in which engines are replaced
    private static final double DIAL_S =
            0.25; // until a connection that does not come up is given up
    private static final double NEVER = 1e9;

    /** What makes engines cold. */
    enum Trouble {
        /** Six in ten are replaced by others within 7 s. */
        REPLACED,
        /** Four in ten vanish at once and are back cold 5 s later, under their ids. */
        ZONE_BACK,
        /**
         * Four in ten restart under their ids, one after the other, and the list tells of it late.
         */
        RESTARTED,
        /** Half are replaced while discovery is down; then all dispatchers hear of them at once. */
        TOLD_AT_ONCE
    }

    private record Change(double publishedAt, EngineListing engine) {}

    private record News(double at, SlowStartDispatcher to, Change change) {}

    /** An attempt, on its way to its engine or there. */
    private static final class Run {
        final SlowStartDispatcher from;
        final Asked asked;
        final int life, index;
        final QueryClass c;
        final long engine;
        double due, left;
        boolean failed;

        Run(SlowStartDispatcher from, Asked asked, QueryClass c, double due) {
            this.from = from;
            this.asked = asked;
            this.life = from.life;
            this.index = asked.tries++;
            this.c = c;
            this.engine = asked.engine;
            this.due = due;
            this.left = asked.work;
        }
    }

    private final List<StartingEngineModel<Run>> engines = new ArrayList<>();
    private final SlowStartSite site;
    private final Random random;
    private final Trouble trouble;
    private final double rate, quota, end, part;
    private final List<SlowStartDispatcher> gateways = new ArrayList<>();
    private final List<Double> weights = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final PriorityQueue<News> news =
            new PriorityQueue<>(Comparator.comparingDouble(News::at));
    private final PriorityQueue<Run> dials =
            new PriorityQueue<>(Comparator.comparingDouble(r -> r.due));
    private final double[] bias;
    private double now;
    private final double backAt; // discovery, where it was down
    private long lastId;

    SlowStartSimulation(SlowStartSite site, int size, Trouble trouble, long seed) {
        this.site = site;
        this.trouble = trouble;
        this.random = new Random(seed);
        int count = Math.max(8, Math.min(24, size / 3));
        double capacity = count * site.cores() / site.mean();
        rate = capacity * (0.45 + 0.75 * random.nextDouble());
        quota = capacity * (0.73 + 0.15 * random.nextDouble());
        end = BEFORE_S + BULK_S + 2 + site.rules().slowStartSeconds();
        // Estimates lie too high or too low by class, by up to a third.
        bias = random.doubles(site.classes().size()).map(u -> Math.exp((u - 0.5) * 0.7)).toArray();
        backAt = BEFORE_S + BULK_S + 1 + 8 * random.nextDouble();
        double power = 0.4 + 0.5 * random.nextDouble();
        for (int i = 0; i < size; i++) {
            weights.add(Math.pow(i + 1, -power));
            boolean restarts = random.nextDouble() < 0.3;
            double late = random.nextDouble() < 0.15 ? 3 + 5 * random.nextDouble() : 0;
            double restartAt =
                    BEFORE_S + random.nextDouble() * (BULK_S + site.rules().slowStartSeconds() / 2);
            gateways.add(new SlowStartDispatcher(i, late, restarts ? restartAt : NEVER));
        }
        part =
                switch (trouble) {
                            case REPLACED -> 0.6;
                            case TOLD_AT_ONCE -> 0.5;
                            default -> 0.4;
                        }
                        * (random.nextInt(3) == 0 ? 0 : 1); // a single one draws all alike
        for (int i = 0; i < count; i++) {
            engine(i, count);
        }
        play();
    }

    /** What came of each start of an engine. */
    List<StartingEngineModel.Verdict> starts() {
        return engines.stream().filter(e -> e.up > 0).map(StartingEngineModel::judge).toList();
    }

    private void engine(int i, int count) {
        double notice = 0.23 + 2.2 * random.nextDouble();
        double drawn = random.nextDouble();
        double at = BEFORE_S + BULK_S * drawn;
        double warm = site.rules().slowStartSeconds();
        if (trouble == Trouble.TOLD_AT_ONCE
                && at + warm < backAt) { // else it is warm when it is told of
            at = backAt - warm * (1 - drawn);
        }
        long id = 1 + (i * 7919L + 13) % 1000; // tells nothing of its fate
        if (i >= Math.max(1, count * part)) {
            add(id, 0, NEVER);
        } else if (trouble == Trouble.ZONE_BACK) {
            add(id, 0, BEFORE_S);
            comeUp(id, BEFORE_S + 5 + 0.2 * random.nextDouble(), notice);
        } else if (trouble == Trouble.RESTARTED) {
            add(id, 0, at);
            comeUp(id, at + 0.2 + random.nextDouble(), notice);
        } else {
            double published = trouble == Trouble.TOLD_AT_ONCE ? backAt : at + notice;
            add(id, 0, published + 3);
            publish(published, id, EngineStage.DRAINING, 0);
            comeUp(id + 1000, at, published - at);
        }
    }

    private void add(long id, double up, double down) {
        engines.add(new StartingEngineModel<>(site, id, up, down, 0.9 + 0.2 * random.nextDouble()));
    }

    private void comeUp(long id, double up, double notice) {
        add(id, up, NEVER);
        publish(up + notice, id, EngineStage.READY, up);
    }

    private void publish(double at, long id, EngineStage stage, double started) {
        Change change =
                new Change(at, new EngineListing(new EngineId(id), 0, 0, 0, stage, 1, started));
        changes.add(change);
        for (SlowStartDispatcher g : gateways) {
            news.add(new News(at + g.late + 0.08 + 0.2 * random.nextDouble(), g, change));
        }
    }

    private void play() {
        gateways.forEach(this::start);
        double burstAt = BEFORE_S + BULK_S * random.nextDouble();
        double shiftAt = BEFORE_S + BULK_S * random.nextDouble();
        for (double next = 0; now < end; ) {
            now += STEP_S;
            for (SlowStartDispatcher g : gateways) {
                if (now >= g.restartAt && g.since < g.restartAt) {
                    start(g);
                }
            }
            while (!news.isEmpty() && news.peek().at <= now) {
                hear(news.poll());
            }
            if (now >= shiftAt) {
                shiftAt = NEVER;
                Collections.shuffle(weights, random);
            }
            double burst = now > burstAt && now < burstAt + 5 ? 1.5 : 1;
            for (; next < now; next += -Math.log(1 - random.nextDouble()) / rate / burst) {
                ask();
            }
            while (!dials.isEmpty() && dials.peek().due <= now) {
                arrive(dials.poll());
            }
            for (StartingEngineModel<Run> e : engines) {
                step(e);
            }
            for (SlowStartDispatcher g : gateways) {
                while (g.settle(now)) {
                    act(g);
                }
            }
        }
    }

    private void start(SlowStartDispatcher g) {
        TreeMap<EngineId, EngineListing> list = new TreeMap<>();
        engines.stream()
                .filter(e -> e.up == 0)
                .map(e -> new EngineId(e.id))
                .forEach(
                        id ->
                                list.put(
                                        id,
                                        new EngineListing(id, 0, 0, 0, EngineStage.READY, 1, 0)));
        changes.stream()
                .filter(c -> c.publishedAt <= now)
                .sorted(Comparator.comparing(Change::publishedAt))
                .forEach(c -> list.put(c.engine.id(), c.engine));
        g.start(
                now,
                site.settings(gateways.size(), g.ordinal, quota),
                random.nextLong(),
                List.copyOf(list.values()));
    }

    private void hear(News n) {
        if (n.change.publishedAt > n.to.since || n.to.life == 1) {
            n.to.hear(now, EndpointUpdateKind.DELTA, List.of(n.change.engine));
        }
    }

    private void ask() {
        double pick = random.nextDouble() * weights.stream().mapToDouble(w -> w).sum();
        int g = 0;
        for (; g < weights.size() - 1 && pick >= weights.get(g); g++) {
            pick -= weights.get(g);
        }
        int c = 0;
        pick = random.nextDouble() * site.shares();
        for (; c < site.share().length - 1 && pick >= site.share()[c]; c++) {
            pick -= site.share()[c];
        }
        double work = site.draw(c, random);
        double cost = work * bias[c] * Math.exp(0.3 * random.nextGaussian());
        double notAfter = now + site.classes().get(c).deadlineSeconds();
        double tenant = random.nextDouble();
        long key = site.classes().get(c).orderedByKey() ? ++lastId % 50 + 1 : 0;
        gateways.get(g)
                .request(
                        now,
                        new QueryRequest(
                                new RequestId(++lastId),
                                c,
                                tenant < 0.41 ? 0 : tenant < 0.81 ? 1 : 2,
                                notAfter,
                                key,
                                random.nextInt(40),
                                cost,
                                0,
                                false),
                        work);
    }

    private void act(SlowStartDispatcher g) {
        for (Asked a : List.copyOf(g.sends)) {
            double dial = random.nextDouble() < 0.02 ? random.nextDouble() : 0; // it comes up late
            Run run = new Run(g, a, site.classes().get(a.r.queryClass()), now + dial);
            a.out = run;
            dials.add(run);
        }
        g.sends.clear();
        for (Asked a : List.copyOf(g.cancels)) {
            if (a.out instanceof Run run) {
                engines.forEach(e -> e.running.remove(run));
                dials.remove(run);
                over(run, AttemptOutcome.CANCELLED, 0);
            }
        }
        g.cancels.clear();
    }

    private void arrive(Run run) {
        StartingEngineModel<Run> at =
                engines.stream()
                        .filter(e -> e.id == run.engine && e.isUp(now))
                        .findFirst()
                        .orElse(null);
        if (run.failed) {
            over(run, AttemptOutcome.UNREACHABLE, 0);
        } else if (at == null
                || random.nextDouble() < 0.01) { // it never comes up: nothing is written
            run.failed = true;
            run.due = now + DIAL_S;
            dials.add(run);
        } else {
            at.arrived(now, run.asked.work, run.from.knew(at.id, at.up, now));
            if (random.nextDouble() < 0.005) { // too many sessions: its work counts all the same
                over(run, AttemptOutcome.REJECTED, 1);
            } else {
                at.running.add(run);
            }
        }
    }

    private void step(StartingEngineModel<Run> e) {
        if (e.running.isEmpty()) {
            return;
        }
        double threads = e.running.stream().mapToDouble(r -> r.c.threads()).sum();
        double capacity = e.capacity(now);
        boolean up = e.isUp(now);
        List<Run> ended = new ArrayList<>();
        for (Run r : e.running) {
            r.left -= STEP_S * r.c.threads() * Math.min(1, capacity / threads);
            if (!up || r.left <= 0) {
                ended.add(r);
            }
        }
        e.running.removeAll(ended);
        ended.forEach(
                r ->
                        over(
                                r,
                                up ? AttemptOutcome.OK : AttemptOutcome.RESET,
                                (float) Math.min(1, threads / capacity)));
    }

    private void over(Run run, AttemptOutcome outcome, float busy) {
        run.asked.out = null;
        if (run.from.life == run.life) {
            boolean ok = outcome == AttemptOutcome.OK;
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
    }
}
